package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.FollowPacing;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.LeaderHead;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.AppendResult;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Elects the leader, which is the process that schedules, by conditional appends to the store: the process that appends
 * the first record after the previous leader has timed out leads the next term. Each term has at most one leader and a
 * unique epoch. Safe for use by several threads; the election runs on a thread of its own.
 */
public final class LeaderElection {
    /** Interval between heartbeats of the leader; three fit into the leader timeout. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

    /** Time without a heartbeat after which another process takes over; allows two lost heartbeats and a slow one. */
    private static final long LEADER_TIMEOUT_MILLISECONDS = 1_200;

    private static final Duration RETRY_DELAY = Duration.ofMillis(120);

    private static final String KEY = "leader";

    private static final long NO_OFFSET = -1;

    private final RecordStore store;
    private final WorkCodec codec;
    private final TimerService timers;
    private final SuspensionAwareClock clock;
    private final DecisionLog log;
    private final Candidate candidate;
    private final Listener listener;
    private final Thread thread;
    private final Semaphore heartbeatRequests = new Semaphore(0);
    private final FollowPacing followPacing = new FollowPacing();
    private volatile boolean closing;
    /** Whether this process gives its term up and starts none, while it goes on following the leader. */
    private volatile boolean resigning;

    private volatile Optional<LeaderHead> newestRecord = Optional.empty();
    /** The newest record as it is stored, of which only a candidate decodes what follows the head. */
    private Optional<byte[]> newestValue = Optional.empty();

    private volatile long leadingEpoch;
    private volatile long lastConfirmedAt;
    /** The term before this process's own; its announcement is carried on until the own term schedules. */
    private Optional<EarlierTerm> earlierTerm = Optional.empty();

    /** Time when the oldest heartbeat was sent that may be in the store without a confirmation. */
    private OptionalLong unconfirmedSince = OptionalLong.empty();

    /** The announcement of that heartbeat; whatever it permits is permitted too when a later one is stored instead. */
    private HostsInUse unconfirmedAnnouncement = HostsInUse.NONE;

    private long nextOffset;
    private long lastObservedAt;
    private long newestOffset = NO_OFFSET;
    /** Monotonic time in milliseconds at which the newest record was first read; bounds of leases count from it. */
    private long newestRecordReadAt;

    private boolean synchronizedWithStore;
    private boolean newestRecordReadable = true;
    private boolean storeReachable = true;

    /**
     * Creates an election.
     *
     * @param candidate this process
     * @param listener is notified when a term of this process starts or ends
     */
    public LeaderElection(
            RecordStore store,
            WorkCodec codec,
            TimerService timers,
            DecisionLog log,
            Candidate candidate,
            Listener listener) {
        this.store = store;
        this.codec = codec;
        this.timers = timers;
        this.clock = new SuspensionAwareClock(timers);
        this.log = log;
        this.candidate = candidate;
        this.listener = listener;
        this.thread = new Thread(this::run, "election");
        thread.setDaemon(true);
    }

    /** Starts to participate in the election. */
    public void start() {
        thread.start();
    }

    /** Returns the newest known leader; empty if none is known or the leader has resigned. */
    public Optional<LeaderHead> leader() {
        return newestRecord.filter(leader -> !leader.resigned());
    }

    /** Returns the epoch of the term that this process leads; empty if it leads none. */
    public OptionalLong leadingEpoch() {
        long epoch = leadingEpoch;
        return epoch > 0 ? OptionalLong.of(epoch) : OptionalLong.empty();
    }

    /** Returns the milliseconds since the last heartbeat that the store has confirmed was sent. */
    public long unconfirmedMilliseconds() {
        return clock.elapsedMilliseconds() - lastConfirmedAt;
    }

    /** Requests the next heartbeat without delay, as starting jobs waits for its announcement. */
    public void requestHeartbeat() {
        heartbeatRequests.release();
    }

    /**
     * Ends this process's term, if it leads one, and starts none any more. Returns at once: the term ends on the thread
     * of the election, which goes on following the leader, so that queries still reach the next one.
     */
    public void resign() {
        resigning = true;
        heartbeatRequests.release();
    }

    /** Ends this process's term, if it leads one and did not resign before, and stops participating. */
    public void close() {
        closing = true;
        thread.interrupt();
        if (resigning) {
            return;
        }
        try {
            thread.join(Duration.ofSeconds(1).toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (leadingEpoch > 0) {
            endTermByResignation();
        }
    }

    private void endTermByResignation() {
        listener.resign().ifPresent(this::appendResignation);
        endTerm("resigned");
    }

    /** Appends the resignation, once more if the last heartbeat was stored although its response was lost. */
    private void appendResignation(HostsInUse hostsInUse) {
        LeaderRecord resignation = record(leadingEpoch, true, hostsInUse);
        if (append(resignation).outcome() != AppendOutcome.CONFLICT) {
            return;
        }
        Snapshot snapshot = store.snapshot(Topic.LEADER).join();
        if (snapshot.complete()) {
            applySnapshot(snapshot);
            if (newestRecord
                    .filter(leader -> leader.epoch() == leadingEpoch && isOwn(leader))
                    .isPresent()) {
                append(resignation);
            }
        }
    }

    private void run() {
        try {
            while (!closing) {
                try {
                    participate();
                } catch (RuntimeException failure) {
                    // A process without its election neither leads nor learns who does, until it restarts.
                    log.emit(EventKind.INTERNAL_FAILURE, EventDetail.of("election", failure));
                    Thread.sleep(RETRY_DELAY.toMillis());
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void participate() throws InterruptedException {
        if (leadingEpoch == 0) {
            follow();
        } else if (resigning) {
            endTermByResignation();
        } else {
            lead();
        }
    }

    private void lead() throws InterruptedException {
        long sentAt = clock.elapsedMilliseconds();
        heartbeatRequests.drainPermits();
        HostsInUse hostsInUse = listener.hostsInUse(leadingEpoch)
                .orElseGet(() -> HostsInUse.fromEarlierTerm(earlierTerm, monotonicMilliseconds()));
        if (unconfirmedSince.isEmpty()) {
            unconfirmedSince = OptionalLong.of(sentAt);
            unconfirmedAnnouncement = hostsInUse;
        }
        AppendResult result = append(record(leadingEpoch, false, hostsInUse));
        switch (result.outcome()) {
            case STORED -> {
                listener.onAnnouncementStored(hostsInUse);
                lastConfirmedAt = sentAt;
                unconfirmedSince = OptionalLong.empty();
                nextOffset = result.endOffset();
                updateStoreReachability(true);
                if (!resigning) {
                    heartbeatRequests.tryAcquire(HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
                }
            }
            case CONFLICT -> resolveConflict();
            default -> {
                updateStoreReachability(false);
                Thread.sleep(RETRY_DELAY.toMillis());
            }
        }
    }

    /**
     * Handles an unexpected end of the topic: after an own heartbeat with a lost response, or another's claim. The own
     * heartbeat in the store may be any that was sent since the last confirmation. The oldest counts, because a
     * successor counts the bounds of leases from the time when it read that record.
     */
    private void resolveConflict() throws InterruptedException {
        Snapshot snapshot = store.snapshot(Topic.LEADER).join();
        if (!snapshot.complete()) {
            updateStoreReachability(false);
            Thread.sleep(RETRY_DELAY.toMillis());
            return;
        }
        applySnapshot(snapshot);
        boolean isOwnRecord = newestRecord
                .filter(leader -> leader.epoch() == leadingEpoch && isOwn(leader))
                .isPresent();
        if (isOwnRecord) {
            lastConfirmedAt = Math.max(lastConfirmedAt, unconfirmedSince.orElse(lastConfirmedAt));
            if (unconfirmedSince.isPresent()) {
                listener.onAnnouncementStored(unconfirmedAnnouncement);
            }
            unconfirmedSince = OptionalLong.empty();
        } else {
            endTerm("another process took over");
        }
    }

    private void follow() throws InterruptedException {
        boolean isFirstRead = !synchronizedWithStore;
        Snapshot snapshot = store.snapshot(Topic.LEADER).join();
        updateStoreReachability(snapshot.complete());
        if (!snapshot.complete()) {
            // The leader can time out only while the store responds.
            lastObservedAt = clock.elapsedMilliseconds();
            Thread.sleep(followPacing.delayAfterFailure());
            return;
        }
        applySnapshot(snapshot);
        if (isFirstRead) {
            lastObservedAt = clock.elapsedMilliseconds();
        }
        if (canClaim()) {
            Thread.sleep(candidate.claimDelayMilliseconds()
                    + ThreadLocalRandom.current().nextLong(50));
            if (resigning) {
                return;
            }
            claim();
            if (!newestRecordReadable) {
                Thread.sleep(followPacing.delayAfterFailure());
            }
            return;
        }
        Thread.sleep(followPacing.delayAfter(newestOffset));
    }

    private boolean canClaim() {
        if (resigning || !newestRecordReadable) {
            // Without a readable record the epoch of the next term is not known.
            return false;
        }
        return newestRecord.isEmpty()
                || newestRecord.get().resigned()
                || isPreviousIncarnation(newestRecord.get())
                || clock.elapsedMilliseconds() - lastObservedAt > LEADER_TIMEOUT_MILLISECONDS;
    }

    private void claim() {
        long epoch = newestRecord.map(LeaderHead::epoch).orElse(0L) + 1;
        Optional<LeaderRecord> previousRecord = newestValue.flatMap(value -> codec.decode(value, LeaderRecord.class));
        if (previousRecord.isPresent() != newestRecord.isPresent()) {
            // The claims of the earlier term are not known.
            newestRecordReadable = false;
            return;
        }
        Optional<EarlierTerm> previousTerm = newestRecord.flatMap(
                head -> previousRecord.map(leader -> new EarlierTerm(leader, findObservationTime(head))));
        long sentAt = clock.elapsedMilliseconds();
        AppendResult result =
                append(record(epoch, false, HostsInUse.fromEarlierTerm(previousTerm, monotonicMilliseconds())));
        synchronizedWithStore = false;
        if (result.outcome() == AppendOutcome.UNKNOWN) {
            Snapshot snapshot = store.snapshot(Topic.LEADER).join();
            if (snapshot.complete()) {
                applySnapshot(snapshot);
                boolean isOwnClaim = newestRecord
                        .filter(leader -> leader.epoch() == epoch && isOwn(leader))
                        .isPresent();
                if (isOwnClaim) {
                    beginTerm(epoch, previousTerm, sentAt);
                }
            }
            return;
        }
        if (result.outcome() == AppendOutcome.STORED) {
            nextOffset = result.endOffset();
            beginTerm(epoch, previousTerm, sentAt);
        }
    }

    /** Returns the monotonic time in milliseconds by which a record was sent, as far as this process can tell. */
    private long findObservationTime(LeaderHead leader) {
        return isPreviousIncarnation(leader)
                ? Math.min(newestRecordReadAt, candidate.startedAtMilliseconds())
                : newestRecordReadAt;
    }

    private void beginTerm(long epoch, Optional<EarlierTerm> previousTerm, long sentAt) {
        lastConfirmedAt = sentAt;
        unconfirmedSince = OptionalLong.empty();
        earlierTerm = previousTerm.map(this::countFromClaimIfUnbounded);
        newestRecord = Optional.of(new LeaderHead(epoch, candidate.process(), candidate.address(), false));
        leadingEpoch = epoch;
        synchronizedWithStore = true;
        log.emit(
                EventKind.TERM_STARTED,
                EventDetail.of("epoch", epoch),
                EventDetail.of(
                        "before",
                        earlierTerm
                                .map(earlier -> earlier.lastRecord().process())
                                .orElse("none")),
                EventDetail.of(
                        "recordAgeMilliseconds",
                        earlierTerm
                                .map(earlier -> monotonicMilliseconds() - earlier.observedAt())
                                .orElse(0L)));
        listener.onElected(epoch, earlierTerm);
    }

    /**
     * Counts the bounds of a record without announced bounds from the claim that followed it. A leader of a version
     * that announced none may have confirmed its heartbeat by reading the record back, until the claim.
     */
    private EarlierTerm countFromClaimIfUnbounded(EarlierTerm earlier) {
        boolean isBounded = earlier.lastRecord().leasesExpireAfter().isPresent()
                || earlier.lastRecord().resigned();
        return isBounded ? earlier : new EarlierTerm(earlier.lastRecord(), monotonicMilliseconds());
    }

    private long monotonicMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(timers.nanoTime());
    }

    private void endTerm(String reason) {
        log.emit(
                EventKind.TERM_ENDED,
                EventDetail.of("epoch", leadingEpoch),
                EventDetail.of("reason", reason),
                EventDetail.of("unconfirmedMilliseconds", unconfirmedMilliseconds()));
        leadingEpoch = 0;
        synchronizedWithStore = false;
        listener.onTermEnded();
    }

    /** Handles a host's reply that it knows a later term: makes the last confirmed heartbeat count as an hour old. */
    public void onSuperseded() {
        lastConfirmedAt = clock.elapsedMilliseconds() - Duration.ofHours(1).toMillis();
    }

    private void applySnapshot(Snapshot snapshot) {
        if (snapshot.records().stream().noneMatch(stored -> stored.key().equals(KEY))) {
            newestRecord = Optional.empty();
            newestValue = Optional.empty();
        }
        // The end of the topic may be newer than the records of a snapshot: a claim must fail after a record that was
        // not read, as the bounds of leases would be counted from an older one.
        nextOffset = snapshot.records().stream()
                .mapToLong(stored -> stored.offset() + 1)
                .max()
                .orElse(snapshot.nextOffset());
        snapshot.records().forEach(this::applyRecord);
        synchronizedWithStore = true;
    }

    private void applyRecord(KeyedRecord stored) {
        if (!stored.key().equals(KEY)) {
            return;
        }
        Optional<LeaderHead> decoded = stored.value().flatMap(codec::decodeLeaderHead);
        newestRecordReadable = decoded.isPresent();
        if (decoded.isEmpty()) {
            return;
        }
        long knownEpoch = newestRecord.map(LeaderHead::epoch).orElse(0L);
        if (decoded.get().epoch() > knownEpoch) {
            log.emit(
                    EventKind.TERM_OBSERVED,
                    EventDetail.of("epoch", decoded.get().epoch()),
                    EventDetail.of("leader", decoded.get().process()));
        }
        newestRecord = decoded;
        newestValue = stored.value();
        if (stored.offset() != newestOffset) {
            newestOffset = stored.offset();
            newestRecordReadAt = monotonicMilliseconds();
            lastObservedAt = clock.elapsedMilliseconds();
        }
    }

    private AppendResult append(LeaderRecord leader) {
        return store.append(
                        Topic.LEADER, List.of(KeyedRecord.of(KEY, codec.encode(leader))), OptionalLong.of(nextOffset))
                .join();
    }

    private LeaderRecord record(long epoch, boolean resigned, HostsInUse hostsInUse) {
        return new LeaderRecord(
                epoch,
                candidate.process(),
                candidate.address(),
                resigned,
                hostsInUse.claims(),
                hostsInUse.startedJobs(),
                hostsInUse.leasesExpireAfter(),
                hostsInUse.accountAllowances());
    }

    /** Returns whether the leader listened on this process's address, so that the leader's process has ended. */
    private boolean isPreviousIncarnation(LeaderHead leader) {
        return leader.address().equals(candidate.address()) && !isOwn(leader);
    }

    private boolean isOwn(LeaderHead leader) {
        return leader.process().equals(candidate.process());
    }

    private void updateStoreReachability(boolean reachable) {
        if (reachable != storeReachable) {
            storeReachable = reachable;
            log.emit(
                    reachable ? EventKind.DEPENDENCY_REGAINED : EventKind.DEPENDENCY_LOST,
                    EventDetail.of("dependency", "store"));
        }
    }

    /**
     * A process that participates in the election.
     *
     * @param process name of the process, with a part that changes with each restart
     * @param address address at which its peers reach it
     * @param claimDelayMilliseconds delay before it claims a term, so that preferred candidates claim first
     * @param startedAtMilliseconds monotonic time at which the process was running; the process that listened on its
     *     address before had ended by then
     */
    public record Candidate(String process, String address, long claimDelayMilliseconds, long startedAtMilliseconds) {}

    /** Is notified of this process's terms. Implementations must not block, except in {@link #resign}. */
    public interface Listener {
        /** Handles the start of a term of this process. */
        void onElected(long epoch, Optional<EarlierTerm> earlierTerm);

        /** Handles the end of the term of this process. */
        void onTermEnded();

        /** Returns the hosts that may have runs; empty until the term has read jobs and hosts. */
        Optional<HostsInUse> hostsInUse(long epoch);

        /** Handles that an announcement of the hosts in use is stored. */
        void onAnnouncementStored(HostsInUse announced);

        /** Ends the term and returns the hosts that may still have runs; empty if they are not known. */
        Optional<HostsInUse> resign();
    }
}
