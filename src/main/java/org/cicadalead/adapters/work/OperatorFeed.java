package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Holds what the operator has written: the newest configuration, which never goes back, and the maintenance waves. Safe
 * for use by several threads.
 */
public final class OperatorFeed {
    /** Wait of a read: a connection that went silent is noticed well within the time for a configuration. */
    private static final Duration WAIT = Duration.ofMillis(900);

    private final AtomicReference<Optional<FleetPlan>> plan = new AtomicReference<>(Optional.empty());
    private final Map<Long, MaintenanceWave> waves = new ConcurrentHashMap<>();
    private final TopicFollower follower;
    private final Decoder decoder;
    private final DecisionLog log;

    /** Creates a feed. */
    public OperatorFeed(RecordStore store, TimerService timers, Decoder decoder, DecisionLog log) {
        this.decoder = decoder;
        this.log = log;
        this.follower =
                new TopicFollower(store, Topic.OPERATOR, timers, WAIT, Duration.ZERO, new TopicFollower.Listener() {
                    @Override
                    public void snapshot(List<KeyedRecord> records) {
                        records.forEach(OperatorFeed.this::take);
                    }

                    @Override
                    public void records(List<KeyedRecord> records) {
                        records.forEach(OperatorFeed.this::take);
                    }
                });
    }

    /** Starts to read. */
    public void start() {
        follower.start();
    }

    /** Ends reading. */
    public void close() {
        follower.close();
    }

    /** Returns the newest configuration; empty before the first was read. */
    public Optional<FleetPlan> plan() {
        return plan.get();
    }

    /** Returns all maintenance waves. */
    public List<MaintenanceWave> waves() {
        return List.copyOf(waves.values());
    }

    private void take(KeyedRecord stored) {
        decoder.plan(stored).ifPresent(this::apply);
        decoder.wave(stored).ifPresent(wave -> waves.put(wave.number(), wave));
    }

    private void apply(FleetPlan read) {
        Optional<FleetPlan> before = plan.getAndUpdate(
                known -> known.isPresent() && known.get().version() >= read.version() ? known : Optional.of(read));
        if (before.isEmpty() || before.get().version() < read.version()) {
            log.emit(EventKind.PLAN_APPLIED, EventDetail.of("version", read.version()));
        }
    }

    /** Reads the operator's records. */
    public interface Decoder {
        /** Returns the configuration in a record; empty where it holds none. */
        Optional<FleetPlan> plan(KeyedRecord stored);

        /** Returns the wave in a record; empty where it holds none. */
        Optional<MaintenanceWave> wave(KeyedRecord stored);
    }
}
