package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

class PeerClientTest {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 200;

    private final PeerClient peers = new PeerClient(
            HttpClient.newBuilder()
                    .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLISECONDS))
                    .build(),
            new WorkCodec(problem -> {}),
            "own:1",
            new ManualTimerService());

    private AppendOutcome store(String address) {
        return peers.store(address, List.of(KeyedRecord.of("key", new byte[] {1})))
                .join();
    }

    /** Opens connections until the queue of a server that accepts none is full, as behind a cut that drops packets. */
    private static void fillQueue(ServerSocket server, List<Socket> connections) throws IOException {
        while (true) {
            Socket connection = new Socket();
            connections.add(connection);
            try {
                connection.connect(server.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLISECONDS);
            } catch (SocketTimeoutException queueFull) {
                return;
            }
        }
    }

    /** Guards against an unknown outcome of records that were never sent, so that their caller learns nothing. */
    @Test
    void refusesRecordsWhenPeerAcceptsNoConnectionInTime() throws IOException {
        List<Socket> connections = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fillQueue(server, connections);
            assertEquals(AppendOutcome.REFUSED, store("127.0.0.1:" + server.getLocalPort()));
        } finally {
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    @Test
    void reportsUnknownOutcomeWhenPeerBreaksConnectionOff() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> breakOff(server));
            thread.setDaemon(true);
            thread.start();
            assertEquals(AppendOutcome.UNKNOWN, store("127.0.0.1:" + server.getLocalPort()));
        }
    }

    private static void breakOff(ServerSocket server) {
        try (Socket connection = server.accept()) {
            connection.getInputStream().read();
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    /** Guards against a request that fails its caller because of the address in a leader's record. */
    @Test
    void refusesRecordsForOddAddress() {
        for (String address : List.of("127.0.0.1:70000", "127.0.0.1:99999999999", "a b:1", "", ":1", "1.2.3.4.5:80")) {
            assertEquals(AppendOutcome.REFUSED, store(address), address);
        }
    }
}
