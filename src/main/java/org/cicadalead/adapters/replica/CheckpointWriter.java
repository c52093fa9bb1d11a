package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.logic.checkpoint.CheckpointSchedule;
import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.CheckpointState.CompleteCheckpoint;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.TimerService;

/**
 * Writes a checkpoint when one is due and no other process has begun it, and compares every complete checkpoint with
 * this process's own state at the offset of its begin. Safe for use by several threads.
 */
final class CheckpointWriter implements SharedStateReplica.FoldListener {
    /** Time between two checks whether a checkpoint is due. */
    static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    /** Upper bound of the random number of checks that a process lets others begin a checkpoint first. */
    private static final int MAX_CHECKS_TO_WAIT = 5;

    private final SnapshotCodec snapshotCodec = new SnapshotCodec();
    private final ProcessIdentifier process;
    private final SharedStateReplica replica;
    private final CommandAppender appender;
    private final TimerService timers;
    private final LongSupplier oldestOffset;
    private final EventSink events;
    private final Executor executor;
    private final int checksToWait;
    private int consecutiveDueChecks;
    private volatile Optional<SharedState> stateAtBegin = Optional.empty();

    /**
     * Creates a writer. {@link #beginIfDue} must be called once per {@link #CHECK_INTERVAL} while the log can be read.
     */
    CheckpointWriter(
            ProcessIdentifier process,
            SharedStateReplica replica,
            CommandAppender appender,
            TimerService timers,
            LongSupplier oldestOffset,
            EventSink events,
            Executor executor,
            double delayShare) {
        this.process = process;
        this.replica = replica;
        this.appender = appender;
        this.timers = timers;
        this.oldestOffset = oldestOffset;
        this.events = events;
        this.executor = executor;
        this.checksToWait = (int) (delayShare * MAX_CHECKS_TO_WAIT);
        replica.addListener(this);
    }

    /**
     * Begins a checkpoint once one has been due for this process's number of checks, which is random so that the
     * processes do not all begin one at once.
     */
    synchronized void beginIfDue() {
        SharedState state = replica.state();
        if (!CheckpointSchedule.isDue(state, oldestOffset.getAsLong(), timers.wallClockMilliseconds())) {
            consecutiveDueChecks = 0;
            return;
        }
        if (consecutiveDueChecks++ < checksToWait) {
            return;
        }
        consecutiveDueChecks = 0;
        appender.submit(new CheckpointCommand.Begin(state.checkpoint().version(), timers.wallClockMilliseconds()));
    }

    @Override
    public void onFolded(
            SharedState previous, SharedState current, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (current.checkpoint().equals(previous.checkpoint())) {
            return;
        }
        if (current.checkpoint().version() == current.offset()) {
            stateAtBegin = Optional.of(current);
            if (envelope.filter(command -> command.writer().equals(process)).isPresent()) {
                executor.execute(() -> appendParts(current));
            }
        }
        Optional<CompleteCheckpoint> newest = current.checkpoint().newest();
        if (newest.isPresent() && !newest.equals(previous.checkpoint().newest())) {
            executor.execute(() -> compareDigests(newest.get()));
        }
    }

    private void appendParts(SharedState state) {
        byte[] encoded = snapshotCodec.encode(state);
        appendPart(
                state.offset(),
                SnapshotCodec.digest(encoded),
                SnapshotParts.split(encoded, SnapshotParts.MAX_CHECKPOINT_PART_BYTES),
                0);
    }

    /**
     * Appends the parts one after the other. A rejected part ends the attempt, as another checkpoint has replaced this
     * one.
     */
    private void appendPart(long offset, String digest, List<byte[]> parts, int index) {
        if (index == parts.size()) {
            return;
        }
        appender.submit(new CheckpointCommand.Part(offset, index, parts.size(), digest, parts.get(index)))
                .thenAccept(outcome -> {
                    if (outcome instanceof CommandOutcome.Accepted) {
                        appendPart(offset, digest, parts, index + 1);
                    }
                });
    }

    private void compareDigests(CompleteCheckpoint checkpoint) {
        Optional<SharedState> ownState = stateAtBegin.filter(state -> state.offset() == checkpoint.basis());
        if (ownState.isEmpty()) {
            return;
        }
        stateAtBegin = Optional.empty();
        boolean isEqual =
                SnapshotCodec.digest(snapshotCodec.encode(ownState.get())).equals(checkpoint.digest());
        events.emit(
                isEqual ? EventKind.CHECKPOINT_COMPLETE : EventKind.CHECKPOINT_DIFFERS,
                Optional.empty(),
                EventDetail.of("basis", checkpoint.basis()),
                EventDetail.of("parts", checkpoint.count()));
    }
}
