package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PlatformLog;
import org.cicadalead.ports.TimerService;

/**
 * Runs the components that keep the shared state of one process up to date: the log follower, the appender, the
 * checkpoint writer, and the relay between processes once there is a channel to them. Safe for use by several threads.
 */
public final class SharedStateService implements AutoCloseable {
    private final ProcessIdentifier process;
    private final SharedStateReplica replica;
    private final RecordFolder folder;
    private final LogFollower follower;
    private final CommandAppender appender;
    private final TimerService timers;
    private final EventSink events;
    private final ExecutorService executor = HttpServers.createDaemonExecutor("shared-state");
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile Optional<PeerChannel> peerChannel = Optional.empty();

    /** Creates the service for a replica; {@link #start} starts it. */
    public SharedStateService(
            PlatformLog log,
            ProcessIdentifier process,
            SharedStateReplica replica,
            TimerService timers,
            EventSink events) {
        this.process = process;
        this.replica = replica;
        this.timers = timers;
        this.events = events;
        MessagePackCommandCodec codec = new MessagePackCommandCodec();
        appender = new CommandAppender(log, codec, process, replica, timers);
        folder = new RecordFolder(codec, replica, events);
        follower = new LogFollower(log, replica, folder, events);
        replica.addListener(new StateEventReporter(events));
    }

    /** Starts following the log and writing checkpoints. */
    public void start() {
        CheckpointWriter checkpoints = new CheckpointWriter(
                process,
                replica,
                appender,
                timers,
                follower::oldestOffset,
                events,
                executor,
                ThreadLocalRandom.current().nextDouble());
        schedulePeriodically(CheckpointWriter.CHECK_INTERVAL, () -> {
            if (follower.isReachable() && follower.isCaughtUp()) {
                checkpoints.beginIfDue();
            }
        });
        follower.start();
    }

    /** Sets the channel to other processes and starts relaying records and snapshots over it. */
    public void connectPeers(PeerChannel channel) {
        peerChannel = Optional.of(channel);
        StateRelay relay = new StateRelay(channel, replica, folder, events, executor);
        follower.setNewestPeerOffset(relay::newestReachableOffset);
        schedulePeriodically(StateRelay.CHECK_INTERVAL, relay::catchUpIfStalled);
    }

    /** Returns the channel to other processes; empty until it is set. */
    public Optional<PeerChannel> peerChannel() {
        return peerChannel;
    }

    /** Returns the appender. */
    public CommandAppender appender() {
        return appender;
    }

    /** Returns the follower of the log. */
    public LogFollower follower() {
        return follower;
    }

    /** Returns whether requests may be served on the state. */
    public boolean isReady() {
        return follower.isCaughtUp() && replica.state().configuration().version() > 0;
    }

    @Override
    public void close() {
        new ArrayList<>(subscriptions).forEach(TimerService.Subscription::close);
        follower.close();
        appender.close();
        executor.shutdownNow();
    }

    private void schedulePeriodically(Duration period, Runnable callback) {
        subscriptions.add(timers.every(period, callback));
    }
}
