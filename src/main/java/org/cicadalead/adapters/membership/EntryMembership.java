package org.cicadalead.adapters.membership;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import org.cicadalead.adapters.peer.PeerChannelOptions;
import org.cicadalead.adapters.peer.PeerCounters;
import org.cicadalead.adapters.peer.SharedKeys;
import org.cicadalead.adapters.peer.TcpPeerChannel;
import org.cicadalead.adapters.replica.CommandAppender;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.TimerService;

/**
 * All that makes an entry process one of many: the channel to the others, its membership, its view leases and its share
 * of moves. Safe for use by several threads.
 */
public final class EntryMembership implements AutoCloseable {
    private final TcpPeerChannel channel;
    private final MembershipService membership;

    /** Binds the peer address; {@link #start} starts joining. */
    public EntryMembership(
            EntrySettings settings,
            ProcessIdentifier process,
            Supplier<SharedState> state,
            CommandAppender appender,
            TimerService timers,
            EventSink events) {
        channel = new TcpPeerChannel(
                new PeerChannelOptions(
                        process,
                        settings.zone(),
                        settings.peerAddress(),
                        settings.peers(),
                        () -> state.get().members().values(),
                        () -> state.get().offset(),
                        SharedKeys::none),
                timers,
                events);
        membership = new MembershipService(channel.self(), state, appender, timers, events);
    }

    /** Starts talking to the others and joins. */
    public void start() {
        channel.start();
        membership.start();
    }

    /** Returns the channel to the other entry processes. */
    public PeerChannel channel() {
        return channel;
    }

    /** Tells whether this process may serve: its shared state holds its own membership. */
    public boolean isMember() {
        return membership.isMember();
    }

    /** Registers the metrics of the channel. */
    public void register(MeterRegistry metrics) {
        PeerCounters counters = channel.counters();
        Gauge.builder("cicadalead.peers.connections", channel::connectionCount).register(metrics);
        FunctionCounter.builder("cicadalead.peers.sent.bytes", counters, PeerCounters::bytesSent)
                .register(metrics);
        FunctionCounter.builder("cicadalead.peers.received.bytes", counters, PeerCounters::bytesReceived)
                .register(metrics);
        FunctionCounter.builder("cicadalead.peers.rejected.frames", counters, PeerCounters::framesRejected)
                .register(metrics);
        FunctionCounter.builder(
                        "cicadalead.peers.authentication.failures", counters, PeerCounters::authenticationFailures)
                .register(metrics);
    }

    /** Leaves; to be called when nothing that this process placed is in flight, and before {@link #close}. */
    public void leave() {
        membership.leave();
    }

    @Override
    public void close() {
        membership.close();
        channel.close();
    }
}
