package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PlatformLog;
import org.cicadalead.support.ManualTimerService;

/**
 * The shared state of one process with the components that keep it up to date, run without threads. For use by one
 * thread.
 */
final class ReplicaUnderTest {
    private final ProcessIdentifier process;
    private final ManualTimerService timers = new ManualTimerService();
    private final SharedStateReplica replica = new SharedStateReplica();
    private final LogFollower follower;
    private final CommandAppender appender;
    private final RecordFolder folder;
    private int identifierCount;
    private String newestIdentifier = "";
    private final EventSink events;
    private boolean cutFromPlatform;
    private boolean paused;

    ReplicaUnderTest(
            ProcessIdentifier process,
            FaultyLog sharedLog,
            UnaryOperator<PlatformLog> mutation,
            Random random,
            EventSink events) {
        this.events = events;
        this.process = process;
        PlatformLog log = mutation.apply(sharedLog.createClient(() -> cutFromPlatform));
        MessagePackCommandCodec codec = new MessagePackCommandCodec();
        folder = new RecordFolder(codec, replica, events);
        follower = new LogFollower(log, replica, folder, events, random::nextDouble);
        appender = new CommandAppender(
                log,
                codec,
                process,
                replica,
                timers,
                Runnable::run,
                new CommandAppender.RandomSources(random::nextDouble, this::nextIdentifier),
                () -> {});
        CheckpointWriter checkpoints = new CheckpointWriter(
                process, replica, appender, timers, follower::oldestOffset, events, Runnable::run, random.nextDouble());
        timers.every(CheckpointWriter.CHECK_INTERVAL, () -> {
            if (follower.isReachable() && follower.isCaughtUp()) {
                checkpoints.beginIfDue();
            }
        });
    }

    void connect(PeerChannel channel) {
        StateRelay relay = new StateRelay(channel, replica, folder, events, Runnable::run);
        follower.setNewestPeerOffset(relay::newestReachableOffset);
        timers.every(StateRelay.CHECK_INTERVAL, relay::catchUpIfStalled);
    }

    ProcessIdentifier process() {
        return process;
    }

    SharedState state() {
        return replica.state();
    }

    /** Submits a command and returns its outcome with the identifier that it was assigned. */
    Publication submitTracked(Command command) {
        CompletableFuture<CommandOutcome> outcome = appender.submit(command);
        return new Publication(process, new CommandIdentifier(newestIdentifier), outcome);
    }

    boolean isReady() {
        return follower.isCaughtUp();
    }

    boolean isPaused() {
        return paused;
    }

    void setPaused(boolean isPaused) {
        paused = isPaused;
    }

    void setCutFromPlatform(boolean isCut) {
        cutFromPlatform = isCut;
    }

    /** Reads the log once, unless the replica is paused. */
    void read() {
        if (!paused) {
            follower.step();
        }
    }

    /** Advances the time, unless the replica is paused. */
    void advance(Duration duration) {
        if (!paused) {
            timers.advance(duration);
        }
    }

    private String nextIdentifier() {
        newestIdentifier = process + "." + identifierCount++;
        return newestIdentifier;
    }
}
