package org.cicadalead.adapters.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.Member;
import org.cicadalead.ports.PeerTopic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TcpPeerChannelTest {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final String KEY = "0123456789abcdef0123456789abcdef";
    private static final String OTHER_KEY = "fedcba9876543210fedcba9876543210";

    private final SystemTimerService timers = new SystemTimerService(failure -> {});
    private final List<TcpPeerChannel> channels = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();

    @AfterEach
    void closeChannels() {
        channels.forEach(TcpPeerChannel::close);
        timers.close();
    }

    @Test
    void answersCallOfMemberInLog() throws Exception {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        TcpPeerChannel second = createChannel("second", "west", List.of());
        second.registerHandler(
                PeerTopic.RECORDS, (caller, payload) -> completedReply(caller.value() + " " + decodeText(payload)));
        startAsMembers(first, second);

        assertEquals("first hello", decodeText(call(first, "second", PeerTopic.RECORDS, "hello")));
    }

    @Test
    void receivesHeartbeatsOfConfiguredPeers() throws Exception {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        first.start();
        CountDownLatch partReceived = new CountDownLatch(1);
        TcpPeerChannel second =
                createChannel("second", "east", List.of(first.self().address()));
        second.addHeartbeatPart(PeerTopic.LOAD, () -> new byte[] {7});
        second.start();
        awaitPart(first, "second", partReceived);

        assertArrayEquals(
                new byte[] {7},
                first.findNewestPart(new ProcessIdentifier("second"), PeerTopic.LOAD)
                        .orElseThrow());
        assertTrue(first.peers().get(0).reachable());
    }

    @Test
    void reportsCallToUnknownProcessAsNotSent() {
        TcpPeerChannel first = createChannel("first", "east", List.of());

        assertEquals(ErrorKind.NO_UPSTREAM, findFailureKind(first, "nobody", PeerTopic.RECORDS));
    }

    @Test
    void reportsCallWithoutHandlerAsNotRun() {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        TcpPeerChannel second = createChannel("second", "east", List.of());
        startAsMembers(first, second);

        assertEquals(ErrorKind.NO_UPSTREAM, findFailureKind(first, "second", PeerTopic.SLOT));
    }

    @Test
    void reportsUnknownOutcomeWhenPeerClosesBeforeReply() {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        TcpPeerChannel second = createChannel("second", "east", List.of());
        second.registerHandler(PeerTopic.SLOT, (caller, payload) -> {
            second.close();
            return new CompletableFuture<>();
        });
        startAsMembers(first, second);

        assertEquals(ErrorKind.OUTCOME_UNKNOWN, findFailureKind(first, "second", PeerTopic.SLOT));
    }

    @Test
    void transfersSnapshotOfSeveralMegabytes() throws Exception {
        byte[] snapshot = new byte[5 * 1024 * 1024];
        snapshot[snapshot.length - 1] = 42;
        TcpPeerChannel first = createChannel("first", "east", List.of());
        TcpPeerChannel second = createChannel("second", "west", List.of());
        second.registerHandler(PeerTopic.SNAPSHOT, (caller, payload) -> CompletableFuture.completedFuture(snapshot));
        startAsMembers(first, second);

        assertArrayEquals(snapshot, call(first, "second", PeerTopic.SNAPSHOT, ""));
    }

    @Test
    void acceptsEitherKeyDuringRotation() throws Exception {
        TcpPeerChannel first = createChannel("first", "east", List.of(), () -> SharedKeys.of(List.of(KEY, OTHER_KEY)));
        TcpPeerChannel second = createChannel("second", "east", List.of(), () -> SharedKeys.of(List.of(OTHER_KEY)));
        second.registerHandler(PeerTopic.RECORDS, (caller, payload) -> completedReply(decodeText(payload)));
        startAsMembers(first, second);

        assertEquals("hello", decodeText(call(first, "second", PeerTopic.RECORDS, "hello")));
    }

    @Test
    void rejectsProcessWithWrongKey() {
        TcpPeerChannel first = createChannel("first", "east", List.of(), () -> SharedKeys.of(List.of(KEY)));
        TcpPeerChannel second = createChannel("second", "east", List.of(), () -> SharedKeys.of(List.of(OTHER_KEY)));
        second.registerHandler(PeerTopic.RECORDS, (caller, payload) -> completedReply("secret"));
        startAsMembers(first, second);

        assertEquals(ErrorKind.NO_UPSTREAM, findFailureKind(first, "second", PeerTopic.RECORDS));
        assertEquals(1, second.counters().authenticationFailures());
    }

    @Test
    void rejectsProcessWithoutKey() {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        TcpPeerChannel second = createChannel("second", "east", List.of(), () -> SharedKeys.of(List.of(KEY)));
        second.registerHandler(PeerTopic.RECORDS, (caller, payload) -> completedReply("secret"));
        startAsMembers(first, second);

        assertEquals(ErrorKind.NO_UPSTREAM, findFailureKind(first, "second", PeerTopic.RECORDS));
    }

    @Test
    void closesConnectionOnOversizedFrame() throws Exception {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        first.start();
        byte[] header =
                ByteBuffer.allocate(Integer.BYTES).putInt(Integer.MAX_VALUE).array();

        assertTrue(closesAfter(first, header));
        assertEquals(1, first.counters().framesRejected());
    }

    @Test
    void closesConnectionOnMalformedFrame() throws Exception {
        TcpPeerChannel first = createChannel("first", "east", List.of());
        first.start();
        byte[] frame =
                ByteBuffer.allocate(6).putInt(2).put((byte) 0xc1).put((byte) 0).array();

        assertTrue(closesAfter(first, frame));
        assertEquals(1, first.counters().framesRejected());
    }

    private static boolean closesAfter(TcpPeerChannel channel, byte[] bytes) throws IOException {
        NetworkAddress address = channel.self().address();
        try (Socket socket = new Socket(address.address(), address.port())) {
            socket.getOutputStream().write(bytes);
            return new DataInputStream(socket.getInputStream()).read() < 0;
        }
    }

    private TcpPeerChannel createChannel(String process, String zone, List<NetworkAddress> seeds) {
        return createChannel(process, zone, seeds, SharedKeys::none);
    }

    private TcpPeerChannel createChannel(
            String process, String zone, List<NetworkAddress> seeds, Supplier<SharedKeys> keys) {
        PeerChannelOptions options = new PeerChannelOptions(
                new ProcessIdentifier(process),
                new ZoneName(zone),
                new BindAddress("127.0.0.1", 0),
                seeds,
                () -> members,
                () -> 1,
                keys);
        TcpPeerChannel channel = new TcpPeerChannel(options, timers, TcpPeerChannelTest::ignoreEvent);
        channels.add(channel);
        return channel;
    }

    private void startAsMembers(TcpPeerChannel... started) {
        for (TcpPeerChannel channel : started) {
            PeerIdentity self = channel.self();
            members.add(new Member(self.process(), members.size() + 1, self.zone(), self.address(), Optional.empty()));
        }
        for (TcpPeerChannel channel : started) {
            channel.start();
        }
    }

    private void awaitPart(TcpPeerChannel channel, String peer, CountDownLatch partReceived)
            throws InterruptedException {
        timers.every(Duration.ofMillis(10), () -> {
            if (channel.findNewestPart(new ProcessIdentifier(peer), PeerTopic.LOAD)
                    .isPresent()) {
                partReceived.countDown();
            }
        });
        assertTrue(partReceived.await(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    }

    private static byte[] call(TcpPeerChannel from, String peer, PeerTopic topic, String payload) throws Exception {
        return from.call(new ProcessIdentifier(peer), topic, payload.getBytes(UTF_8), CALL_TIMEOUT)
                .get();
    }

    private static ErrorKind findFailureKind(TcpPeerChannel from, String peer, PeerTopic topic) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> call(from, peer, topic, "payload"));
        return ((CicadaleadException) failure.getCause()).kind();
    }

    private static CompletableFuture<byte[]> completedReply(String text) {
        return CompletableFuture.completedFuture(text.getBytes(UTF_8));
    }

    private static String decodeText(byte[] bytes) {
        return new String(bytes, UTF_8);
    }

    private static void ignoreEvent(
            EventKind kind, Optional<String> cause, org.cicadalead.model.event.EventDetail... details) {
        assertTrue(kind.number() > 0);
    }
}
