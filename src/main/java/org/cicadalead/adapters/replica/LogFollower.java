package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.logic.checkpoint.CheckpointScan;
import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PlatformLog;

/**
 * Reads the platform log in its own thread and folds the records into the replica. When records that the replica lacks
 * have expired, it scans the log for the newest complete checkpoint and jumps to it; it never folds across a gap. Safe
 * for use by several threads; {@link #step} may only be called by one thread at a time.
 */
public final class LogFollower implements AutoCloseable {
    private static final int MAX_RECORDS_PER_READ = 500;
    /** Time that the platform may hold a read open until there are new records. */
    private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(2);

    private static final long INITIAL_BACKOFF_MILLISECONDS = 50;
    private static final long MAX_BACKOFF_MILLISECONDS = 2_000;

    private final PlatformLog log;
    private final SnapshotCodec snapshotCodec = new SnapshotCodec();
    private final SharedStateReplica replica;
    private final RecordFolder folder;
    private final EventSink events;
    private final DoubleSupplier jitter;
    private final ReadinessGate readinessGate = new ReadinessGate();
    private final Thread thread = new Thread(this::run, "log-follower");
    private volatile Supplier<OptionalLong> newestPeerOffset = OptionalLong::empty;
    private volatile boolean closed;
    private volatile boolean reachable;
    private volatile long oldestOffset = 1;
    private long backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
    private long lastScannedOffset;
    private CheckpointScan scan = CheckpointScan.empty();

    /** Creates a follower that begins to read on {@link #start}. */
    LogFollower(PlatformLog log, SharedStateReplica replica, RecordFolder folder, EventSink events) {
        this(log, replica, folder, events, () -> ThreadLocalRandom.current().nextDouble());
    }

    /** Creates a follower with the given source of jitter, for reproducible tests. */
    LogFollower(
            PlatformLog log, SharedStateReplica replica, RecordFolder folder, EventSink events, DoubleSupplier jitter) {
        this.log = log;
        this.replica = replica;
        this.folder = folder;
        this.events = events;
        this.jitter = jitter;
    }

    /** Sets the supplier of the newest offset of reachable peers, which this process must reach to be ready. */
    void setNewestPeerOffset(Supplier<OptionalLong> offsetSupplier) {
        newestPeerOffset = offsetSupplier;
    }

    /** Starts reading. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns whether the last read reached the platform. */
    public boolean isReachable() {
        return reachable;
    }

    /** Returns whether the state has reached the newest offset that this process observed first after its start. */
    public boolean isCaughtUp() {
        return readinessGate.isOpen(replica.state().offset());
    }

    /** Returns the oldest offset that the log retained at the last read. */
    public long oldestOffset() {
        return oldestOffset;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    /** Reads once and folds the records; returns the time to wait before the next step. */
    Duration step() {
        try {
            boolean canReadOn = readOnce();
            updateReachable(true);
            if (canReadOn) {
                backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
                return Duration.ZERO;
            }
        } catch (CicadaleadException failure) {
            updateReachable(false);
            readinessGate.offerTarget(newestPeerOffset.get());
        }
        return nextBackoff();
    }

    private void run() {
        while (!closed) {
            try {
                Thread.sleep(step().toMillis());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException fault) {
                events.emit(EventKind.INTERNAL_FAILURE, Optional.empty(), EventDetail.of("failure", fault));
                nextBackoff();
            }
        }
    }

    /** Reads once; returns whether the next read may follow immediately. */
    private boolean readOnce() {
        long from =
                readinessGate.hasGap() ? lastScannedOffset + 1 : replica.state().offset() + 1;
        PlatformLog.LogBatch batch =
                log.read(from, MAX_RECORDS_PER_READ, readinessGate.hasGap() ? Duration.ZERO : LONG_POLL_TIMEOUT);
        oldestOffset = batch.oldestOffset();
        if (readinessGate.hasGap()) {
            return scan(batch);
        }
        if (batch.oldestOffset() > replica.state().offset() + 1) {
            startScan();
            return true;
        }
        readinessGate.offerTarget(
                Math.max(batch.nextOffset() - 1, newestPeerOffset.get().orElse(0)));
        batch.records().forEach(folder::fold);
        return true;
    }

    private void startScan() {
        if (!readinessGate.hasGap()) {
            events.emit(EventKind.STATE_GAP, Optional.empty(), EventDetail.of("oldest", oldestOffset));
        }
        readinessGate.setGap(true);
        lastScannedOffset = 0;
        scan = CheckpointScan.empty();
    }

    private boolean scan(PlatformLog.LogBatch batch) {
        if (replica.state().offset() + 1 >= batch.oldestOffset()) {
            endScan();
            return true;
        }
        for (PlatformLog.LogRecord record : batch.records()) {
            lastScannedOffset = record.offset();
            decodePart(record).ifPresent(part -> scan = scan.withPart(part));
        }
        if (lastScannedOffset + 1 < batch.nextOffset() && !batch.records().isEmpty()) {
            return true;
        }
        if (jumpToCheckpoint(batch.oldestOffset())) {
            endScan();
            return true;
        }
        startScan();
        return false;
    }

    private void endScan() {
        readinessGate.setGap(false);
        scan = CheckpointScan.empty();
    }

    private Optional<CheckpointCommand.Part> decodePart(PlatformLog.LogRecord record) {
        return folder.decode(record)
                .map(CommandEnvelope::command)
                .filter(CheckpointCommand.Part.class::isInstance)
                .map(CheckpointCommand.Part.class::cast);
    }

    /**
     * Jumps to the newest complete checkpoint and returns whether that succeeded. The log must still retain the records
     * after the offset of the checkpoint, otherwise the jump would end before another gap.
     */
    private boolean jumpToCheckpoint(long oldestRetainedOffset) {
        Optional<SharedState> checkpointState = scan.complete()
                .filter(assembly -> assembly.basis() + 1 >= oldestRetainedOffset)
                .filter(assembly -> SnapshotCodec.digest(assembly.content()).equals(assembly.digest()))
                .flatMap(assembly ->
                        snapshotCodec.decode(assembly.content()).filter(state -> state.offset() == assembly.basis()));
        if (checkpointState.isEmpty() || !folder.jumpTo(checkpointState.get(), "checkpoint")) {
            return false;
        }
        return true;
    }

    private void updateReachable(boolean isReachable) {
        if (reachable != isReachable) {
            reachable = isReachable;
            events.emit(
                    isReachable ? EventKind.PLATFORM_LOG_RETURNED : EventKind.PLATFORM_LOG_UNAVAILABLE,
                    Optional.empty());
        }
    }

    /**
     * Returns a random delay between half and all of an exponential backoff, so that many processes do not retry at the
     * same time.
     */
    private Duration nextBackoff() {
        long delay = backoffMilliseconds;
        backoffMilliseconds = Math.min(MAX_BACKOFF_MILLISECONDS, delay * 2);
        return Duration.ofMillis((long) (delay * (1 + jitter.getAsDouble()) / 2));
    }
}
