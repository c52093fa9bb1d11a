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
import org.cicadalead.ports.RecordStore.Appended;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.ReadOutcome;
import org.cicadalead.ports.RecordStore.Slice;
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
    private static final Duration HEARTBEAT = Duration.ofMillis(300);

    /** Silence after which another process takes over, with two heartbeats lost and one slow answer. */
    private static final long SILENCE_MILLISECONDS = 1_200;

    /** Wait of a read; short, so that a connection that went silent is noticed before the silence ends. */
    private static final Duration READ_WAIT = Duration.ofMillis(400);

    private static final Duration RETRY = Duration.ofMillis(120);

    private static final String KEY = "leader";

    private final RecordStore store;
    private final WorkCodec codec;
    private final AwakeClock clock;
    private final DecisionLog log;
    private final Candidate candidate;
    private final Listener listener;
    private final Thread thread;
    private final Semaphore statementWanted = new Semaphore(0);
    private volatile boolean closing;
    private volatile Optional<LeaderRecord> newest = Optional.empty();
    private volatile long leadingEpoch;
    private volatile long confirmedAt;
    /** What the term says until it has read jobs and hosts: whatever the term before said. */
    private HostsInUse carriedOver = HostsInUse.NONE;

    private long nextOffset;
    private long observedAt;
    private boolean synchronizedWithStore;
    private boolean newestIsReadable = true;
    private boolean storeAnswers = true;

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
        this.clock = new AwakeClock(timers);
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
        return newest.filter(leader -> !leader.resigned());
    }

    /** Returns milliseconds since the last heartbeat that the store confirmed was sent. */
    public long unconfirmedMilliseconds() {
        return clock.milliseconds() - confirmedAt;
    }

    /** Sends the next heartbeat at once, as its statement is waited for. */
    public void stateSoon() {
        statementWanted.release();
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
            listener.resign().ifPresent(used -> append(record(leadingEpoch, true, used)));
            depose("resigned");
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
        long sentAt = clock.milliseconds();
        statementWanted.drainPermits();
        HostsInUse used = listener.hostsInUse(leadingEpoch).orElse(carriedOver);
        Appended appended = append(record(leadingEpoch, false, used));
        switch (appended.outcome()) {
            case STORED -> {
                listener.published(used);
                confirmedAt = sentAt;
                nextOffset = appended.endOffset();
                storeAnswered(true);
                statementWanted.tryAcquire(HEARTBEAT.toMillis(), TimeUnit.MILLISECONDS);
            }
            case CONFLICT -> readBack();
            default -> {
                storeAnswered(false);
                Thread.sleep(RETRY.toMillis());
            }
        }
    }

    /** The topic ends elsewhere than expected: by an own heartbeat whose answer was lost, or by another's claim. */
    private void readBack() throws InterruptedException {
        long sentAt = clock.milliseconds();
        Snapshot snapshot = store.snapshot(Topic.LEADER).join();
        if (!snapshot.complete()) {
            storeAnswered(false);
            Thread.sleep(RETRY.toMillis());
            return;
        }
        takeSnapshot(snapshot);
        boolean own = newest.filter(leader -> leader.epoch() == leadingEpoch && isOwn(leader))
                .isPresent();
        if (own) {
            confirmedAt = sentAt;
        } else {
            depose("another process took over");
        }
    }

    private void follow() throws InterruptedException {
        if (!synchronizedWithStore) {
            Snapshot snapshot = store.snapshot(Topic.LEADER).join();
            storeAnswered(snapshot.complete());
            if (!snapshot.complete()) {
                Thread.sleep(RETRY.toMillis());
                return;
            }
            takeSnapshot(snapshot);
            observedAt = clock.milliseconds();
        }
        if (mayClaim()) {
            Thread.sleep(candidate.hesitationMilliseconds()
                    + ThreadLocalRandom.current().nextLong(50));
            claim();
            return;
        }
        Slice slice = store.read(Topic.LEADER, nextOffset, READ_WAIT).join();
        storeAnswered(slice.outcome() == ReadOutcome.READ);
        switch (slice.outcome()) {
            case READ -> {
                nextOffset = slice.nextOffset();
                slice.records().forEach(this::observe);
            }
            case TRUNCATED -> synchronizedWithStore = false;
            default -> {
                // Silence counts only while the store answers.
                observedAt = clock.milliseconds();
                Thread.sleep(RETRY.toMillis());
            }
        }
    }

    private boolean mayClaim() {
        if (!newestIsReadable) {
            // The number of the next term is not known.
            return false;
        }
        return newest.isEmpty()
                || newest.get().resigned()
                || isEarlierLife(newest.get())
                || clock.milliseconds() - observedAt > SILENCE_MILLISECONDS;
    }

    private void claim() {
        long epoch = newest.map(LeaderRecord::epoch).orElse(0L) + 1;
        Optional<LeaderRecord> before = newest;
        long sentAt = clock.milliseconds();
        Appended appended = append(record(epoch, false, HostsInUse.fromEarlierTerm(before)));
        synchronizedWithStore = false;
        if (appended.outcome() == AppendOutcome.UNKNOWN) {
            Snapshot snapshot = store.snapshot(Topic.LEADER).join();
            if (snapshot.complete()) {
                takeSnapshot(snapshot);
                boolean own = newest.filter(leader -> leader.epoch() == epoch && isOwn(leader))
                        .isPresent();
                if (own) {
                    begin(epoch, before, sentAt);
                }
            }
            return;
        }
        if (appended.outcome() == AppendOutcome.STORED) {
            nextOffset = appended.endOffset();
            begin(epoch, before, sentAt);
        }
    }

    private void begin(long epoch, Optional<LeaderRecord> before, long sentAt) {
        confirmedAt = sentAt;
        carriedOver = HostsInUse.fromEarlierTerm(before);
        newest = Optional.of(record(epoch, false, carriedOver));
        leadingEpoch = epoch;
        synchronizedWithStore = true;
        log.emit(
                EventKind.TERM_STARTED,
                EventDetail.of("epoch", epoch),
                EventDetail.of("before", before.map(LeaderRecord::process).orElse("none")));
        listener.elected(epoch, before);
    }

    private void depose(String reason) {
        log.emit(
                EventKind.TERM_ENDED,
                EventDetail.of("epoch", leadingEpoch),
                EventDetail.of("reason", reason),
                EventDetail.of("unconfirmedMilliseconds", unconfirmedMilliseconds()));
        leadingEpoch = 0;
        synchronizedWithStore = false;
        listener.deposed();
    }

    /** A host answered that it knows a later term. */
    public void superseded() {
        confirmedAt = clock.milliseconds() - Duration.ofHours(1).toMillis();
    }

    private void takeSnapshot(Snapshot snapshot) {
        newest = Optional.empty();
        nextOffset = snapshot.nextOffset();
        snapshot.records().forEach(this::observe);
        synchronizedWithStore = true;
    }

    private void observe(KeyedRecord stored) {
        if (!stored.key().equals(KEY)) {
            return;
        }
        Optional<LeaderRecord> read = stored.value().flatMap(value -> codec.decode(value, LeaderRecord.class));
        newestIsReadable = read.isPresent();
        if (read.isEmpty()) {
            return;
        }
        long known = newest.map(LeaderRecord::epoch).orElse(0L);
        if (read.get().epoch() > known) {
            log.emit(
                    EventKind.TERM_OBSERVED,
                    EventDetail.of("epoch", read.get().epoch()),
                    EventDetail.of("leader", read.get().process()));
        }
        newest = read;
        observedAt = clock.milliseconds();
    }

    private Appended append(LeaderRecord leader) {
        return store.append(
                        Topic.LEADER, List.of(KeyedRecord.of(KEY, codec.encode(leader))), OptionalLong.of(nextOffset))
                .join();
    }

    private LeaderRecord record(long epoch, boolean resigned, HostsInUse used) {
        return new LeaderRecord(
                epoch, candidate.process(), candidate.address(), resigned, used.claims(), used.startedJobs());
    }

    /** The leader listened where this process listens now, so its process has ended. */
    private boolean isEarlierLife(LeaderRecord leader) {
        return leader.address().equals(candidate.address()) && !isOwn(leader);
    }

    private boolean isOwn(LeaderRecord leader) {
        return leader.process().equals(candidate.process());
    }

    private void storeAnswered(boolean answers) {
        if (answers != storeAnswers) {
            storeAnswers = answers;
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
     * @param hesitationMilliseconds how long it lets others go first
     */
    public record Candidate(String process, String address, long hesitationMilliseconds) {}

    /** Is told of this process's terms. Implementations return at once. */
    public interface Listener {
        /** A term of this process has begun. */
        void elected(long epoch, Optional<LeaderRecord> before);

        /** The term of this process has ended. */
        void deposed();

        /** Returns the hosts that may run something; empty before a term has read jobs and hosts. */
        Optional<HostsInUse> hostsInUse(long epoch);

        /** A statement on the hosts in use is in the store. */
        void published(HostsInUse stored);

        /** Ends the term; returns the hosts that may go on running something, empty when that is not known. */
        Optional<HostsInUse> resign();
    }
}
