package org.cicadalead.adapters.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.logic.membership.PeerObservation;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.Member;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;
import org.cicadalead.ports.TimerService;

/**
 * Exchanges calls and heartbeats between entry processes over TCP. Two threads serve all sockets, and a few more run
 * call handlers and complete the results of calls, regardless of the number of peers. Safe for use by several threads.
 */
public final class TcpPeerChannel implements PeerChannel, AutoCloseable {
    private static final int SOCKET_THREADS = 2;
    private static final int HANDLER_THREADS = 4;
    private static final int MAX_CONNECTIONS = 1_024;
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final PeerIdentity self;
    private final TimerService timers;
    private final EventSink events;
    private final Supplier<SharedKeys> keys;
    private final PeerCounters counters = new PeerCounters();
    private final PeerDirectory directory;
    private final HeartbeatSender heartbeats;
    private final PeerDialer dialer;
    private final Map<PeerTopic, CallHandler> handlers = new ConcurrentHashMap<>();
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Map<ProcessIdentifier, List<PeerConnection>> connectionsByPeer = new ConcurrentHashMap<>();
    private final SecureRandom random = new SecureRandom();
    private final ExecutorService handlerExecutor;
    private final AsynchronousChannelGroup channelGroup;
    private final AsynchronousServerSocketChannel serverChannel;
    private final Supplier<Collection<Member>> members;
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /** Binds the peer address. The channel accepts and dials only after {@link #start}. */
    public TcpPeerChannel(PeerChannelOptions options, TimerService timers, EventSink events) {
        this.timers = timers;
        this.events = events;
        this.keys = options.keys();
        handlerExecutor = Executors.newFixedThreadPool(HANDLER_THREADS, createDaemonThreadFactory("peer-handler"));
        try {
            channelGroup = AsynchronousChannelGroup.withFixedThreadPool(
                    SOCKET_THREADS, createDaemonThreadFactory("peer-socket"));
            serverChannel = bind(channelGroup, options.bindAddress());
            InetSocketAddress bound = (InetSocketAddress) serverChannel.getLocalAddress();
            NetworkAddress address = new NetworkAddress(bound.getAddress().getHostAddress(), bound.getPort());
            self = new PeerIdentity(options.process(), options.zone(), address);
        } catch (IOException failure) {
            handlerExecutor.shutdownNow();
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS,
                    "The peer address " + options.bindAddress() + " cannot be bound; is another process using it?",
                    failure);
        }
        directory = new PeerDirectory(self.process());
        dialer = new PeerDialer(self, directory, options.seeds(), this::dial, timers);
        heartbeats = new HeartbeatSender(self, directory, options.appliedOffset(), options.members(), counters);
        members = options.members();
    }

    /** Starts accepting connections, dialing peers and sending heartbeats. */
    public void start() {
        accept();
        subscriptions.add(timers.after(Duration.ZERO, () -> onTick(members.get())));
        subscriptions.add(timers.every(HeartbeatSender.PERIOD, () -> onTick(members.get())));
    }

    /** Returns the identity of this process, with the address at which other entry processes reach it. */
    public PeerIdentity self() {
        return self;
    }

    /** Returns the counters of this channel. */
    public PeerCounters counters() {
        return counters;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the availability zones with a reachable peer. */
    public List<ZoneName> reachableZones() {
        return directory.reachableZones(timers.nanoTime());
    }

    /** Returns the availability zones that another process reports as reachable. */
    public List<ZoneName> zonesReachedBy(ProcessIdentifier peer) {
        return directory.find(peer).map(PeerDirectory.KnownPeer::zones).orElse(List.of());
    }

    /** Attempts to reach a process, unless it is connected and its heartbeats are recent. */
    public CompletableFuture<PeerObservation> probe(PeerIdentity peer) {
        if (findNewestConnection(peer.process()).isPresent()
                && directory
                        .find(peer.process())
                        .filter(known -> known.isReachable(timers.nanoTime()))
                        .isPresent()) {
            return CompletableFuture.completedFuture(PeerObservation.REACHABLE);
        }
        return dial(peer.address()).handle((connection, failure) -> {
            if (failure != null) {
                return DialException.observationOf(failure);
            }
            boolean isExpectedPeer =
                    connection.peer().map(PeerIdentity::process).equals(Optional.of(peer.process()));
            return isExpectedPeer ? PeerObservation.REACHABLE : PeerObservation.ENDED;
        });
    }

    @Override
    public void registerHandler(PeerTopic topic, CallHandler handler) {
        handlers.put(topic, handler);
    }

    @Override
    public CompletableFuture<byte[]> call(ProcessIdentifier peer, PeerTopic topic, byte[] payload, Duration timeout) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        TimerService.Subscription deadline = timers.after(
                timeout,
                () -> result.completeExceptionally(new CicadaleadException(
                        ErrorKind.OUTCOME_UNKNOWN, "The entry process " + peer + " did not answer in " + timeout)));
        result.whenComplete((reply, failure) -> deadline.close());
        findOrDialConnection(peer).whenComplete((connection, failure) -> {
            if (failure != null) {
                result.completeExceptionally(createUnreachableException(peer));
            } else if (!result.isDone()) {
                connection.markUsed(timers.nanoTime());
                CompletableFuture<byte[]> call = connection.call(topic, payload);
                result.whenComplete((reply, callFailure) -> call.cancel(false));
                call.whenComplete((reply, callFailure) -> completeOnHandlerThread(result, reply, callFailure));
            }
        });
        return result;
    }

    @Override
    public void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part) {
        heartbeats.registerPart(topic, part);
    }

    @Override
    public Optional<byte[]> findNewestPart(ProcessIdentifier peer, PeerTopic topic) {
        return directory
                .find(peer)
                .flatMap(known -> Optional.ofNullable(known.parts().get(topic)));
    }

    @Override
    public List<PeerStatus> peers() {
        long now = timers.nanoTime();
        return directory.findAll().stream()
                .map(peer -> new PeerStatus(peer.process(), peer.zone(), peer.appliedOffset(), peer.isReachable(now)))
                .toList();
    }

    @Override
    public void close() {
        closed = true;
        subscriptions.forEach(TimerService.Subscription::close);
        connections.forEach(PeerConnection::close);
        try {
            serverChannel.close();
            channelGroup.shutdownNow();
        } catch (IOException failure) {
            events.emit(EventKind.INTERNAL_FAILURE, Optional.empty(), EventDetail.of("failure", failure));
        }
        handlerExecutor.shutdownNow();
    }

    private void completeOnHandlerThread(CompletableFuture<byte[]> result, byte[] reply, Throwable failure) {
        try {
            handlerExecutor.execute(() -> {
                if (failure == null) {
                    result.complete(reply);
                } else {
                    result.completeExceptionally(failure);
                }
            });
        } catch (RejectedExecutionException stopping) {
            result.completeExceptionally(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "The process stops"));
        }
    }

    private void onTick(Collection<Member> members) {
        long now = timers.nanoTime();
        directory.updateMembers(members, now);
        heartbeats.planLinks(now);
        for (PeerConnection connection : connections) {
            closeIfUnused(connection, now);
        }
        dialer.dialDuePeers(
                heartbeats.plannedLinks(), peer -> findNewestConnection(peer).isPresent());
        heartbeats.sendHeartbeats(now, this::findNewestConnection);
    }

    private void closeIfUnused(PeerConnection connection, long now) {
        boolean isKeyRevoked = connection
                .session()
                .flatMap(PeerHandshake.Session::key)
                .map(key -> !keys.get().contains(key))
                .orElse(connection.session().isPresent() && !keys.get().isEmpty());
        Duration limit = connection.peer().isPresent() ? IDLE_TIMEOUT : HANDSHAKE_TIMEOUT;
        boolean isIdle = now - connection.lastUsedNanoseconds() > limit.toNanos() && !connection.isBusy();
        if (isKeyRevoked || isIdle) {
            connection.close();
        }
    }

    private Optional<PeerConnection> findNewestConnection(ProcessIdentifier peer) {
        List<PeerConnection> open = connectionsByPeer.getOrDefault(peer, List.of());
        for (int index = open.size() - 1; index >= 0; index--) {
            PeerConnection connection = open.get(index);
            if (connection.isOpen()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private CompletableFuture<PeerConnection> findOrDialConnection(ProcessIdentifier peer) {
        Optional<PeerConnection> open = findNewestConnection(peer);
        if (open.isPresent()) {
            return CompletableFuture.completedFuture(open.get());
        }
        Optional<PeerDirectory.KnownPeer> knownPeer = directory.find(peer).or(() -> {
            directory.updateMembers(members.get(), timers.nanoTime());
            return directory.find(peer);
        });
        if (knownPeer.isEmpty() || closed) {
            return CompletableFuture.failedFuture(createUnreachableException(peer));
        }
        return dialer.connect(knownPeer.get().identity().address()).thenCompose(connection -> {
            boolean isExpectedPeer =
                    connection.peer().map(PeerIdentity::process).equals(Optional.of(peer));
            return isExpectedPeer
                    ? CompletableFuture.completedFuture(connection)
                    : CompletableFuture.failedFuture(createUnreachableException(peer));
        });
    }

    private static CicadaleadException createUnreachableException(ProcessIdentifier peer) {
        return new CicadaleadException(ErrorKind.NO_UPSTREAM, "The entry process " + peer + " cannot be reached");
    }

    private static AsynchronousServerSocketChannel bind(AsynchronousChannelGroup group, BindAddress address)
            throws IOException {
        return AsynchronousServerSocketChannel.open(group)
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(address.address(), address.port()));
    }

    private void accept() {
        if (closed) {
            return;
        }
        serverChannel.accept(this, new CompletionHandler<AsynchronousSocketChannel, TcpPeerChannel>() {
            @Override
            public void completed(AsynchronousSocketChannel channel, TcpPeerChannel unused) {
                if (connections.size() < MAX_CONNECTIONS) {
                    openConnection(channel, false, new CompletableFuture<>());
                } else {
                    closeQuietly(channel);
                }
                accept();
            }

            @Override
            public void failed(Throwable failure, TcpPeerChannel unused) {
                if (!closed) {
                    timers.after(HeartbeatSender.PERIOD, TcpPeerChannel.this::accept);
                }
            }
        });
    }

    private CompletableFuture<PeerConnection> dial(NetworkAddress address) {
        CompletableFuture<PeerConnection> established = new CompletableFuture<>();
        AtomicBoolean connected = new AtomicBoolean();
        try {
            AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(channelGroup);
            TimerService.Subscription deadline = timers.after(HANDSHAKE_TIMEOUT, () -> {
                if (established.completeExceptionally(DialException.ofTimeout(connected.get()))) {
                    closeQuietly(channel);
                }
            });
            established.whenComplete((connection, failure) -> deadline.close());
            InetSocketAddress target = new InetSocketAddress(address.address(), address.port());
            channel.connect(target, connected, new CompletionHandler<Void, AtomicBoolean>() {
                @Override
                public void completed(Void done, AtomicBoolean reached) {
                    reached.set(true);
                    openConnection(channel, true, established);
                }

                @Override
                public void failed(Throwable failure, AtomicBoolean reached) {
                    closeQuietly(channel);
                    established.completeExceptionally(DialException.of(failure));
                }
            });
        } catch (IOException | RuntimeException failure) {
            established.completeExceptionally(failure);
        }
        return established;
    }

    private void openConnection(
            AsynchronousSocketChannel channel, boolean dialing, CompletableFuture<PeerConnection> established) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException failure) {
            closeQuietly(channel);
            established.completeExceptionally(failure);
            return;
        }
        byte[] nonce = new byte[PeerHandshake.NONCE_BYTES];
        random.nextBytes(nonce);
        PeerHandshake handshake = new PeerHandshake(dialing, self, keys.get(), nonce);
        PeerConnection connection =
                new PeerConnection(channel, handshake, new ConnectionListener(established), counters);
        connection.markUsed(timers.nanoTime());
        connections.add(connection);
        connection.start(dialing);
    }

    private static void closeQuietly(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException ignored) {
            // The socket is already unusable.
            return;
        }
    }

    private static ThreadFactory createDaemonThreadFactory(String name) {
        AtomicInteger count = new AtomicInteger();
        return runnable -> {
            Thread thread = new Thread(runnable, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Handles the events of one connection. */
    private final class ConnectionListener implements PeerConnection.Listener {
        private final CompletableFuture<PeerConnection> established;

        ConnectionListener(CompletableFuture<PeerConnection> established) {
            this.established = established;
        }

        @Override
        public void onEstablished(PeerConnection connection, PeerIdentity peer) {
            if (peer.process().equals(self.process())) {
                connection.close();
                return;
            }
            directory.addIfUnknown(peer, timers.nanoTime());
            connectionsByPeer
                    .computeIfAbsent(peer.process(), absent -> new CopyOnWriteArrayList<>())
                    .add(connection);
            if (!connection.isOpen()) {
                removeConnection(connection);
            }
            events.emit(EventKind.PEER_CONNECTED, Optional.empty(), EventDetail.of("peer", peer.process()));
            established.complete(connection);
        }

        @Override
        public void onMessage(PeerConnection connection, PeerMessage message) {
            long now = timers.nanoTime();
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                heartbeats.onHeartbeat(connection, heartbeat, now);
            } else if (message instanceof PeerMessage.Call call) {
                connection.markUsed(now);
                answerCall(connection, call);
            } else if (message instanceof PeerMessage.Reply reply) {
                connection.complete(reply);
            } else if (message instanceof PeerMessage.Failure failure) {
                connection.complete(failure);
            } else {
                throw new MalformedFrameException("a handshake message after the handshake");
            }
        }

        @Override
        public void onFrameRejected(PeerConnection connection, String reason) {
            events.emit(
                    EventKind.PEER_FRAME_REJECTED,
                    Optional.empty(),
                    EventDetail.of("peer", peerNameOf(connection)),
                    EventDetail.of("reason", reason));
        }

        @Override
        public void onAuthenticationFailed(PeerConnection connection) {
            events.emit(EventKind.PEER_AUTHENTICATION_FAILED, Optional.empty());
        }

        @Override
        public void onClosed(PeerConnection connection) {
            connections.remove(connection);
            connection
                    .peer()
                    .ifPresent(peer -> connectionsByPeer.computeIfPresent(peer.process(), (process, open) -> {
                        open.remove(connection);
                        return open.isEmpty() ? null : open;
                    }));
            established.completeExceptionally(DialException.ofTimeout(true));
            events.emit(EventKind.PEER_DISCONNECTED, Optional.empty(), EventDetail.of("peer", peerNameOf(connection)));
        }

        private void removeConnection(PeerConnection connection) {
            connections.remove(connection);
            connection
                    .peer()
                    .ifPresent(peer -> connectionsByPeer.computeIfPresent(peer.process(), (process, open) -> {
                        open.remove(connection);
                        return open.isEmpty() ? null : open;
                    }));
        }

        private String peerNameOf(PeerConnection connection) {
            return connection.peer().map(peer -> peer.process().value()).orElse("unknown");
        }

        private void answerCall(PeerConnection connection, PeerMessage.Call call) {
            CallHandler handler = handlers.get(call.topic());
            if (handler == null) {
                connection.send(new PeerMessage.Failure(call.correlation(), true, "No handler of " + call.topic()));
                return;
            }
            ProcessIdentifier caller = connection.peer().orElseThrow().process();
            connection.beginHandlingCall();
            handlerExecutor.execute(() -> handle(handler, caller, call)
                    .whenComplete((payload, failure) -> reply(connection, call, payload, failure)));
        }

        private CompletableFuture<byte[]> handle(CallHandler handler, ProcessIdentifier caller, PeerMessage.Call call) {
            try {
                return handler.handle(caller, call.payload());
            } catch (RuntimeException failure) {
                return CompletableFuture.failedFuture(failure);
            }
        }

        private void reply(PeerConnection connection, PeerMessage.Call call, byte[] payload, Throwable failure) {
            connection.endHandlingCall();
            if (failure == null) {
                if (!connection.send(new PeerMessage.Reply(call.correlation(), payload))) {
                    connection.close();
                }
                return;
            }
            Throwable cause = failure instanceof java.util.concurrent.CompletionException && failure.getCause() != null
                    ? failure.getCause()
                    : failure;
            boolean notRun =
                    cause instanceof CicadaleadException known && known.kind().execution() == Execution.NOT_RUN;
            connection.send(new PeerMessage.Failure(call.correlation(), notRun, String.valueOf(cause.getMessage())));
        }
    }
}
