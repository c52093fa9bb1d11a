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
 * Writes a checkpoint when one is due and nobody else has begun it, and compares every complete checkpoint with this
 * process's own state at its basis. Safe for use by several threads.
 */
final class CheckpointWriter implements SharedStateReplica.FoldListener {
    /** Time between two looks at whether a checkpoint is due. */
    static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

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
     * Creates a writer; {@link #beginIfDue} is to be called once a {@link #CHECK_INTERVAL} while the log can be read.
     */
    CheckpointWriter(
            ProcessIdentifier process,
            SharedStateReplica replica,
            CommandAppender appender,
            TimerService timers,
            LongSupplier oldestOffset,
            EventSink events,
            Executor threads,
            double chance) {
        this.process = process;
        this.replica = replica;
        this.appender = appender;
        this.timers = timers;
        this.oldestOffset = oldestOffset;
        this.events = events;
        this.executor = threads;
        this.checksToWait = (int) (chance * MAX_CHECKS_TO_WAIT);
        replica.addListener(this);
    }

    /** Begins a checkpoint once one has been due for as many looks as this process waits before the others. */
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
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (after.checkpoint().equals(before.checkpoint())) {
            return;
        }
        if (after.checkpoint().version() == after.offset()) {
            stateAtBegin = Optional.of(after);
            if (envelope.filter(begin -> begin.writer().equals(process)).isPresent()) {
                executor.execute(() -> appendParts(after));
            }
        }
        Optional<CompleteCheckpoint> newest = after.checkpoint().newest();
        if (newest.isPresent() && !newest.equals(before.checkpoint().newest())) {
            executor.execute(() -> compareDigests(newest.get()));
        }
    }

    private void appendParts(SharedState state) {
        byte[] whole = snapshotCodec.encode(state);
        appendPart(
                state.offset(),
                SnapshotCodec.digest(whole),
                SnapshotParts.split(whole, SnapshotParts.MAX_CHECKPOINT_PART_BYTES),
                0);
    }

    /** Appends the parts one after the other; a rejected one ends the attempt, as another checkpoint took over. */
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

    private void compareDigests(CompleteCheckpoint complete) {
        Optional<SharedState> own = stateAtBegin.filter(state -> state.offset() == complete.basis());
        if (own.isEmpty()) {
            return;
        }
        stateAtBegin = Optional.empty();
        boolean equal = SnapshotCodec.digest(snapshotCodec.encode(own.get())).equals(complete.digest());
        events.emit(
                equal ? EventKind.CHECKPOINT_COMPLETE : EventKind.CHECKPOINT_DIFFERS,
                Optional.empty(),
                EventDetail.of("basis", complete.basis()),
                EventDetail.of("parts", complete.count()));
    }
}
