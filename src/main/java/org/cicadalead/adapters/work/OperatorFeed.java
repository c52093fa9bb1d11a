package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadalead.logic.work.account.ConfigurationFreshness;
import org.cicadalead.logic.work.account.WithdrawnKeys;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Follows the operator's records: holds the newest configuration, whose version never decreases, and the maintenance
 * waves. Safe for use by several threads.
 */
public final class OperatorFeed {
    /**
     * Time after the end of a successful read after which a read is overdue: the wait of a read, and the time that the
     * store needs for an answer while it is slowed down.
     */
    private static final long READ_OVERDUE_MILLISECONDS = 1_300;

    /** Interval of the additional reads of a process that can't decide by its configuration. */
    private static final long CONFIRMATION_INTERVAL_MILLISECONDS = 500;

    /** Maximum wait of a read; detects a dead connection well within the time for applying a configuration. */
    private static final Duration MAX_READ_WAIT = Duration.ofMillis(900);

    /** Version of a process that has no configuration. */
    private static final long NO_VERSION = -1;

    private final Object planLock = new Object();
    private volatile Optional<FleetPlan> plan = Optional.empty();
    private volatile WithdrawnKeys withdrawnKeys = WithdrawnKeys.NONE;
    private final Map<Long, MaintenanceWave> waves = new ConcurrentHashMap<>();
    private final TopicFollower follower;
    private final Decoder decoder;
    private final DecisionLog log;
    private final RecordStore store;
    private final SuspensionAwareClock clock;
    private final ConfigurationFreshness freshness;
    private long readSentAt;
    private long readCompletedAt;
    private boolean lastReadFailed;
    private long nextConfirmationAt;

    /**
     * Creates a feed that follows the operator's topic once it is started.
     *
     * @param applyMilliseconds the time within which a version has to be in force
     * @param stretchMilliseconds how much longer that time is at most while the store is disturbed
     */
    public OperatorFeed(
            RecordStore store,
            TimerService timers,
            Decoder decoder,
            DecisionLog log,
            long applyMilliseconds,
            long stretchMilliseconds) {
        this.decoder = decoder;
        this.log = log;
        this.store = store;
        this.clock = new SuspensionAwareClock(timers);
        this.freshness =
                new ConfigurationFreshness(applyMilliseconds, stretchMilliseconds, clock.elapsedMilliseconds());
        this.follower = new TopicFollower(
                store, Topic.OPERATOR, timers, log, MAX_READ_WAIT, Duration.ZERO, new TopicFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        records.forEach(OperatorFeed.this::applyRecord);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(OperatorFeed.this::applyRecord);
                    }

                    @Override
                    public void onReadSent() {
                        OperatorFeed.this.onReadSent();
                    }

                    @Override
                    public void onReadCompleted(boolean succeeded) {
                        OperatorFeed.this.onReadCompleted(succeeded);
                    }

                    @Override
                    public void onReadApplied() {
                        OperatorFeed.this.onReadApplied();
                    }
                });
    }

    /** Starts reading. */
    public void start() {
        follower.start();
    }

    /** Stops reading. */
    public void close() {
        follower.close();
    }

    /** Returns the newest configuration; empty until the first one has been read. */
    public Optional<FleetPlan> plan() {
        return plan;
    }

    /** Returns keys of earlier configurations that the newest one doesn't hold. */
    public WithdrawnKeys withdrawnKeys() {
        return withdrawnKeys;
    }

    /** Returns all maintenance waves. */
    public List<MaintenanceWave> waves() {
        return List.copyOf(waves.values());
    }

    /** Returns the version of the newest configuration; -1 if there is none yet. */
    long version() {
        return plan.map(FleetPlan::version).orElse(NO_VERSION);
    }

    /** Returns whether the configuration may be decided by, as far as its age tells. */
    public boolean isCurrent() {
        synchronized (freshness) {
            return freshness.isCurrent(clock.elapsedMilliseconds());
        }
    }

    /** Notes that this process is running; to be called at least every 250 milliseconds. */
    void observe() {
        synchronized (freshness) {
            freshness.observe(clock.elapsedMilliseconds());
        }
    }

    /** Returns the time since the configuration was confirmed to be the newest one. */
    long ageMilliseconds() {
        synchronized (freshness) {
            return freshness.age(clock.elapsedMilliseconds());
        }
    }

    /** Returns the time by which ages are measured; counts times for which the process was suspended. */
    long elapsedMilliseconds() {
        return clock.elapsedMilliseconds();
    }

    /** Returns whether the store does not give the configuration to this process. */
    boolean isReadOverdue() {
        synchronized (freshness) {
            return lastReadFailed || clock.elapsedMilliseconds() - readCompletedAt > READ_OVERDUE_MILLISECONDS;
        }
    }

    private void onReadSent() {
        synchronized (freshness) {
            readSentAt = clock.elapsedMilliseconds();
        }
    }

    private void onReadCompleted(boolean succeeded) {
        synchronized (freshness) {
            lastReadFailed = !succeeded;
            readCompletedAt = succeeded ? clock.elapsedMilliseconds() : readCompletedAt;
        }
    }

    private void onReadApplied() {
        synchronized (freshness) {
            freshness.onConfirmed(readSentAt);
        }
    }

    /**
     * Reads the newest configuration beside the reads that follow the topic if the known one is too old to decide by.
     * Such a read doesn't wait for records, and doesn't queue behind one on a connection that is silent.
     */
    void confirmIfOutdated() {
        long sentAt;
        synchronized (freshness) {
            sentAt = clock.elapsedMilliseconds();
            if (sentAt < nextConfirmationAt || freshness.isCurrent(sentAt)) {
                return;
            }
            nextConfirmationAt = sentAt + CONFIRMATION_INTERVAL_MILLISECONDS;
        }
        store.snapshot(Topic.OPERATOR).thenAccept(snapshot -> {
            if (snapshot.complete()) {
                snapshot.records().forEach(this::applyPlanRecord);
                synchronized (freshness) {
                    freshness.onConfirmed(sentAt);
                }
            }
        });
    }

    /** Creates the reply to a peer that has a version of the configuration. */
    ConfigurationReply createReply(long peerVersion, List<String> peers) {
        // The age is taken first: the configuration is then at least as new as the age tells.
        long age = ageMilliseconds();
        Optional<FleetPlan> newest = plan;
        return new ConfigurationReply(
                newest.filter(known -> known.version() > peerVersion),
                newest.map(FleetPlan::version).orElse(NO_VERSION),
                age,
                peers);
    }

    /**
     * Takes over what a peer knows. Its confirmation counts only if this process then has the version that it confirms.
     *
     * @param sentAt when the request was sent, in time that counts suspensions
     */
    void onPeerReply(ConfigurationReply reply, long sentAt, String address) {
        reply.plan().ifPresent(newest -> {
            if (applyPlan(newest)) {
                log.emit(
                        EventKind.CONFIGURATION_FROM_PEER,
                        EventDetail.of("version", newest.version()),
                        EventDetail.of("peer", address),
                        EventDetail.of("ageMilliseconds", reply.ageMilliseconds()));
            }
        });
        if (reply.version() >= 0 && version() >= reply.version() && reply.ageMilliseconds() >= 0) {
            synchronized (freshness) {
                freshness.onConfirmed(sentAt - reply.ageMilliseconds());
            }
        }
    }

    private void applyRecord(KeyedRecord stored) {
        applyPlanRecord(stored);
        applyReadable(stored, () -> decoder.decodeWave(stored).ifPresent(wave -> waves.put(wave.number(), wave)));
    }

    private void applyPlanRecord(KeyedRecord stored) {
        applyReadable(stored, () -> decoder.decodePlan(stored).ifPresent(this::applyPlan));
    }

    /** A record that can't be read must not end the reading of those that follow. */
    private void applyReadable(KeyedRecord stored, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError damaged) {
            log.emit(EventKind.RECORD_UNREADABLE, EventDetail.of("problem", stored.key() + ": " + damaged));
        }
    }

    /** Puts a configuration in force unless it is older; returns whether it did. */
    private boolean applyPlan(FleetPlan newPlan) {
        synchronized (planLock) {
            if (plan.isPresent() && plan.get().version() >= newPlan.version()) {
                return false;
            }
            withdrawnKeys = withdrawnKeys.afterChange(plan.flatMap(FleetPlan::accounts), newPlan.accounts());
            plan = Optional.of(newPlan);
        }
        log.emit(EventKind.PLAN_APPLIED, EventDetail.of("version", newPlan.version()));
        return true;
    }

    /** Decodes the operator's records. */
    public interface Decoder {
        /** Returns the configuration in a record; empty if the record holds none. */
        Optional<FleetPlan> decodePlan(KeyedRecord stored);

        /** Returns the wave in a record; empty if the record holds none. */
        Optional<MaintenanceWave> decodeWave(KeyedRecord stored);
    }
}
