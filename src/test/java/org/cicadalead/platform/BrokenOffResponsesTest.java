package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.TaskKey;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.ReadOutcome;
import org.cicadalead.ports.RecordStore.Topic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that never complete, because a link was cut within a response: the host would not be polled any
 * more, the registry not be read, the run count as ordered, and the election stand still.
 */
class BrokenOffResponsesTest {
    private static final String HALF_A_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"clockMs\":";
    private static final String UNKNOWN_ENDING =
            "{\"clockMs\":1,\"ended\":[[1,\"5c0e7a21d94b36f8.0.1.9\",1,\"gone\",\"\"]]}";

    private final PlatformHttpClient client = new PlatformHttpClient(HttpClient.newHttpClient());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private volatile String response = HALF_A_RESPONSE;
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::answerByHalf);
        thread.setDaemon(true);
        thread.start();
    }

    private void answerByHalf() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                InputStream request = connection.getInputStream();
                if (request.read(new byte[1]) > 0) {
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        for (Socket connection : new ArrayList<>(connections)) {
            connection.close();
        }
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private HostOrders.Target target() {
        return new HostOrders.Target("host", address(), 1);
    }

    /** Waits far longer than any limit of a call, so that only a call without a limit fails. */
    private static <T> T complete(CompletableFuture<T> call) {
        return call.orTimeout(20, TimeUnit.SECONDS).join();
    }

    @Test
    void reportsPollWithHalfAResponseAsUnknown() {
        assertEquals(
                HostOrders.OrderOutcome.UNKNOWN,
                complete(new HostClient(client).poll(target(), OptionalLong.empty(), 0, Duration.ZERO))
                        .outcome());
    }

    @Test
    void reportsStartWithHalfAResponseAsUnknown() {
        HostOrders.StartOrder order = new HostOrders.StartOrder(
                target(), new RunKey(new TaskKey("job", 0, 0, 0), 1), "run", 1_000, "", Optional.empty());
        assertEquals(
                StartOutcome.UNKNOWN,
                complete(new HostClient(client).start(order)).outcome());
    }

    @Test
    void reportsReadWithHalfAResponseAsFailed() {
        StoreClient store = new StoreClient(client, address());
        assertEquals(
                ReadOutcome.FAILED,
                complete(store.read(Topic.HOSTS, 0, Duration.ZERO)).outcome());
    }

    @Test
    void reportsAppendWithHalfAResponseAsUnknown() {
        StoreClient store = new StoreClient(client, address());
        assertEquals(
                AppendOutcome.UNKNOWN,
                complete(store.append(
                                Topic.LEADER, List.of(KeyedRecord.createDeletion("leader")), OptionalLong.empty()))
                        .outcome());
    }

    @Test
    void reportsMachineListWithHalfAResponseAsUnknown() {
        assertEquals(Optional.empty(), complete(new MachineClient(client, address(), "node", 64).list()));
    }

    @Test
    void reportsPollWithUnreadableListAsUnknown() {
        response = "HTTP/1.1 200 OK\r\nContent-Length: " + UNKNOWN_ENDING.length() + "\r\n\r\n" + UNKNOWN_ENDING;
        assertEquals(
                HostOrders.OrderOutcome.UNKNOWN,
                complete(new HostClient(client).poll(target(), OptionalLong.empty(), 0, Duration.ZERO))
                        .outcome());
    }

    @Test
    void reportsPollOfHostWithUnusableAddressAsUnknown() {
        HostOrders.Target unusable = new HostOrders.Target("host", "1.2.3.4.5:80", 1);
        assertEquals(
                HostOrders.OrderOutcome.UNKNOWN,
                complete(new HostClient(client).poll(unusable, OptionalLong.empty(), 0, Duration.ZERO))
                        .outcome());
    }
}
