package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.AppendResult;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.ReadOutcome;
import org.cicadalead.ports.RecordStore.ReadResult;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Elects the process that schedules, by conditional appends to the store: whoever appends the first record after a
 * silence has the next term. At most one process holds a term, and every term has its own number. Safe for use by
 * several threads; one thread of its own does the work.
 */
public final class LeaderElection {
    /** Time between heartbeats of the leader: three fit into the time after which it is taken for lost. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

    /** Silence after which another process takes over, with two heartbeats lost and one slow answer. */
    private static final long LEADER_TIMEOUT_MILLISECONDS = 1_200;

    /** Wait of a read; short, so that a connection that went silent is noticed before the silence ends. */
    private static final Duration MAX_READ_WAIT = Duration.ofMillis(400);

    private static final Duration RETRY_DELAY = Duration.ofMillis(120);

    private static final String KEY = "leader";

    private final RecordStore store;
    private final WorkCodec codec;
    private final SuspensionAwareClock clock;
    private final DecisionLog log;
    private final Candidate candidate;
    private final Listener listener;
    private final Thread thread;
    private final Semaphore heartbeatRequests = new Semaphore(0);
    private volatile boolean closing;
    private volatile Optional<LeaderRecord> newestRecord = Optional.empty();
    private volatile long leadingEpoch;
    private volatile long lastConfirmedAt;
    /** What the term says until it has read jobs and hosts: whatever the term before said. */
    private HostsInUse carriedOver = HostsInUse.NONE;

    private long nextOffset;
    private long lastObservedAt;
    private boolean synchronizedWithStore;
    private boolean newestRecordReadable = true;
    private boolean storeReachable = true;

    /**
     * Creates an election.
     *
     * @param candidate this process
     * @param listener is told of the beginning and the end of this process's terms
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
        this.clock = new SuspensionAwareClock(timers);
        this.log = log;
        this.candidate = candidate;
        this.listener = listener;
        this.thread = new Thread(this::run, "election");
        thread.setDaemon(true);
    }

    /** Starts to take part. */
    public void start() {
        thread.start();
    }

    /** Returns what the newest known leader said of itself. */
    public Optional<LeaderRecord> leader() {
        return newestRecord.filter(leader -> !leader.resigned());
    }

    /** Returns milliseconds since the last heartbeat that the store confirmed was sent. */
    public long unconfirmedMilliseconds() {
        return clock.elapsedMilliseconds() - lastConfirmedAt;
    }

    /** Sends the next heartbeat at once, as its statement is waited for. */
    public void requestHeartbeat() {
        heartbeatRequests.release();
    }

    /** Ends this process's term, if it has one, and takes part no more. */
    public void close() {
        closing = true;
        thread.interrupt();
        try {
            thread.join(Duration.ofSeconds(1).toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (leadingEpoch > 0) {
            listener.resign().ifPresent(used -> append(createRecord(leadingEpoch, true, used)));
            endTerm("resigned");
        }
    }

    private void run() {
        try {
            while (!closing) {
                if (leadingEpoch > 0) {
                    lead();
                } else {
                    follow();
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void lead() throws InterruptedException {
        long sentAt = clock.elapsedMilliseconds();
        heartbeatRequests.drainPermits();
        HostsInUse used = listener.hostsInUse(leadingEpoch).orElse(carriedOver);
        AppendResult appended = append(createRecord(leadingEpoch, false, used));
        switch (appended.outcome()) {
            case STORED -> {
                listener.onAnnouncementStored(used);
                lastConfirmedAt = sentAt;
                nextOffset = appended.endOffset();
                updateStoreReachability(true);
                heartbeatRequests.tryAcquire(HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            }
            case CONFLICT -> resolveConflict();
            default -> {
                updateStoreReachability(false);
                Thread.sleep(RETRY_DELAY.toMillis());
            }
        }
    }

    /** The topic ends elsewhere than expected: by an own heartbeat whose answer was lost, or by another's claim. */
    private void resolveConflict() throws InterruptedException {
        long sentAt = clock.elapsedMilliseconds();
        Snapshot snapshot = store.snapshot(Topic.LEADER).join();
        if (!snapshot.complete()) {
            updateStoreReachability(false);
            Thread.sleep(RETRY_DELAY.toMillis());
            return;
        }
        applySnapshot(snapshot);
        boolean own = newestRecord
                .filter(leader -> leader.epoch() == leadingEpoch && isOwn(leader))
                .isPresent();
        if (own) {
            lastConfirmedAt = sentAt;
        } else {
            endTerm("another process took over");
        }
    }

    private void follow() throws InterruptedException {
        if (!synchronizedWithStore) {
            Snapshot snapshot = store.snapshot(Topic.LEADER).join();
            updateStoreReachability(snapshot.complete());
            if (!snapshot.complete()) {
                Thread.sleep(RETRY_DELAY.toMillis());
                return;
            }
            applySnapshot(snapshot);
            lastObservedAt = clock.elapsedMilliseconds();
        }
        if (canClaim()) {
            Thread.sleep(candidate.claimDelayMilliseconds()
                    + ThreadLocalRandom.current().nextLong(50));
            claim();
            return;
        }
        ReadResult slice = store.read(Topic.LEADER, nextOffset, MAX_READ_WAIT).join();
        updateStoreReachability(slice.outcome() == ReadOutcome.READ);
        switch (slice.outcome()) {
            case READ -> {
                nextOffset = slice.nextOffset();
                slice.records().forEach(this::applyRecord);
            }
            case TRUNCATED -> synchronizedWithStore = false;
            default -> {
                // Silence counts only while the store answers.
                lastObservedAt = clock.elapsedMilliseconds();
                Thread.sleep(RETRY_DELAY.toMillis());
            }
        }
    }

    private boolean canClaim() {
        if (!newestRecordReadable) {
            // The number of the next term is not known.
            return false;
        }
        return newestRecord.isEmpty()
                || newestRecord.get().resigned()
                || isPreviousIncarnation(newestRecord.get())
                || clock.elapsedMilliseconds() - lastObservedAt > LEADER_TIMEOUT_MILLISECONDS;
    }

    private void claim() {
        long epoch = newestRecord.map(LeaderRecord::epoch).orElse(0L) + 1;
        Optional<LeaderRecord> before = newestRecord;
        long sentAt = clock.elapsedMilliseconds();
        AppendResult appended = append(createRecord(epoch, false, HostsInUse.carriedOver(before)));
        synchronizedWithStore = false;
        if (appended.outcome() == AppendOutcome.UNKNOWN) {
            Snapshot snapshot = store.snapshot(Topic.LEADER).join();
            if (snapshot.complete()) {
                applySnapshot(snapshot);
                boolean own = newestRecord
                        .filter(leader -> leader.epoch() == epoch && isOwn(leader))
                        .isPresent();
                if (own) {
                    beginTerm(epoch, before, sentAt);
                }
            }
            return;
        }
        if (appended.outcome() == AppendOutcome.STORED) {
            nextOffset = appended.endOffset();
            beginTerm(epoch, before, sentAt);
        }
    }

    private void beginTerm(long epoch, Optional<LeaderRecord> before, long sentAt) {
        lastConfirmedAt = sentAt;
        carriedOver = HostsInUse.carriedOver(before);
        newestRecord = Optional.of(createRecord(epoch, false, carriedOver));
        leadingEpoch = epoch;
        synchronizedWithStore = true;
        log.emit(
                EventKind.TERM_STARTED,
                EventDetail.of("epoch", epoch),
                EventDetail.of("before", before.map(LeaderRecord::process).orElse("none")));
        listener.onElected(epoch, before);
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

    /** A host answered that it knows a later term. */
    public void onSuperseded() {
        lastConfirmedAt = clock.elapsedMilliseconds() - Duration.ofHours(1).toMillis();
    }

    private void applySnapshot(Snapshot snapshot) {
        newestRecord = Optional.empty();
        nextOffset = snapshot.nextOffset();
        snapshot.records().forEach(this::applyRecord);
        synchronizedWithStore = true;
    }

    private void applyRecord(KeyedRecord stored) {
        if (!stored.key().equals(KEY)) {
            return;
        }
        Optional<LeaderRecord> read = stored.value().flatMap(value -> codec.decode(value, LeaderRecord.class));
        newestRecordReadable = read.isPresent();
        if (read.isEmpty()) {
            return;
        }
        long known = newestRecord.map(LeaderRecord::epoch).orElse(0L);
        if (read.get().epoch() > known) {
            log.emit(
                    EventKind.TERM_OBSERVED,
                    EventDetail.of("epoch", read.get().epoch()),
                    EventDetail.of("leader", read.get().process()));
        }
        newestRecord = read;
        lastObservedAt = clock.elapsedMilliseconds();
    }

    private AppendResult append(LeaderRecord leader) {
        return store.append(
                        Topic.LEADER, List.of(KeyedRecord.of(KEY, codec.encode(leader))), OptionalLong.of(nextOffset))
                .join();
    }

    private LeaderRecord createRecord(long epoch, boolean resigned, HostsInUse used) {
        return new LeaderRecord(
                epoch, candidate.process(), candidate.address(), resigned, used.claims(), used.startedJobs());
    }

    /** The leader listened where this process listens now, so its process has ended. */
    private boolean isPreviousIncarnation(LeaderRecord leader) {
        return leader.address().equals(candidate.address()) && !isOwn(leader);
    }

    private boolean isOwn(LeaderRecord leader) {
        return leader.process().equals(candidate.process());
    }

    private void updateStoreReachability(boolean answers) {
        if (answers != storeReachable) {
            storeReachable = answers;
            log.emit(
                    answers ? EventKind.DEPENDENCY_REGAINED : EventKind.DEPENDENCY_LOST,
                    EventDetail.of("dependency", "store"));
        }
    }

    /**
     * A process that takes part.
     *
     * @param process name of the process, with a part that differs after a restart
     * @param address where its peers reach it
     * @param claimDelayMilliseconds how long it lets others go first
     */
    public record Candidate(String process, String address, long claimDelayMilliseconds) {}

    /** Is told of this process's terms. Implementations return at once. */
    public interface Listener {
        /** A term of this process has begun. */
        void onElected(long epoch, Optional<LeaderRecord> before);

        /** The term of this process has ended. */
        void onTermEnded();

        /** Returns the hosts that may run something; empty before a term has read jobs and hosts. */
        Optional<HostsInUse> hostsInUse(long epoch);

        /** A statement on the hosts in use is in the store. */
        void onAnnouncementStored(HostsInUse stored);

        /** Ends the term; returns the hosts that may go on running something, empty when that is not known. */
        Optional<HostsInUse> resign();
    }
}
