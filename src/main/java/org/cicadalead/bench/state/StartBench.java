package org.cicadalead.bench.state;

import java.time.Duration;
import java.util.List;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.adapters.replica.SharedStateService;
import org.cicadalead.adapters.replica.SnapshotParts;
import org.cicadalead.adapters.standin.LogStandIn;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;

/** Measures how long a process takes to become ready from a log whose oldest records have expired. Stateless. */
public final class StartBench {
    private static final int RECORDS_AFTER_CHECKPOINT = 10_000;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(1);
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private StartBench() {}

    /** Returns the milliseconds until ready, with a checkpoint and the maximum number of records that may follow it. */
    public static double measureMillisecondsUntilReady(FleetSize size) {
        SyntheticLog syntheticLog = new SyntheticLog(size);
        long beginOffset = syntheticLog.append(new CheckpointCommand.Begin(0, System.currentTimeMillis()));
        byte[] snapshot = new SnapshotCodec().encode(syntheticLog.state());
        List<byte[]> parts = SnapshotParts.split(snapshot, SnapshotParts.MAX_CHECKPOINT_PART_BYTES);
        String digest = SnapshotCodec.digest(snapshot);
        for (int index = 0; index < parts.size(); index++) {
            syntheticLog.append(new CheckpointCommand.Part(beginOffset, index, parts.size(), digest, parts.get(index)));
        }
        for (int count = 0; count < RECORDS_AFTER_CHECKPOINT; count++) {
            syntheticLog.appendObservation(count);
        }
        LogStandIn log = new LogStandIn();
        syntheticLog.records().forEach(log::append);
        log.expireBefore(beginOffset + 1);
        return measureStart(log, syntheticLog.state().offset());
    }

    private static double measureStart(LogStandIn log, long lastOffset) {
        SharedStateReplica replica = new SharedStateReplica();
        long startNanoseconds = System.nanoTime();
        try (SystemTimerService timers = new SystemTimerService(failure -> {});
                SharedStateService service = new SharedStateService(
                        log, new ProcessIdentifier("bench"), replica, timers, (kind, cause, details) -> {})) {
            service.start();
            while (!service.isReady() || replica.state().offset() < lastOffset) {
                if (System.nanoTime() - startNanoseconds > READY_TIMEOUT.toNanos()) {
                    throw new CicadaleadException(ErrorKind.INTERNAL, "The process did not become ready");
                }
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
            return (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MILLISECOND;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.CANCELLED, "Interrupted", interrupted);
        }
    }
}
