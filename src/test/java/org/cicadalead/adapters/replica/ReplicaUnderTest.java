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

/** One process's shared state with all that keeps it new, without threads. For use by one thread. */
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
            FaultyLog shared,
            UnaryOperator<PlatformLog> mutation,
            Random random,
            EventSink events) {
        this.events = events;
        this.process = process;
        PlatformLog log = mutation.apply(shared.createClient(() -> cutFromPlatform));
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

    /** Submits a command and returns it with the identifier that it was given. */
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

    void setPaused(boolean now) {
        paused = now;
    }

    void setCutFromPlatform(boolean now) {
        cutFromPlatform = now;
    }

    /** Reads the log once, unless it is paused. */
    void read() {
        if (!paused) {
            follower.step();
        }
    }

    /** Lets time pass, unless it is paused. */
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
