package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.TaskKey;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that were never sent, because no connection could be made, being reported with an unknown
 * outcome: they cannot take effect later.
 */
class UnsentRequestsTest {
    private final PlatformHttpClient client = new PlatformHttpClient(HttpClient.newHttpClient());

    private static String closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void reportsAppendWithoutConnectionAsRefused() throws IOException {
        StoreClient store = new StoreClient(client, closedAddress());
        assertEquals(
                AppendOutcome.REFUSED,
                store.append(Topic.JOBS, List.of(KeyedRecord.createDeletion("key")), OptionalLong.empty())
                        .join()
                        .outcome());
    }

    @Test
    void reportsStartWithoutConnectionAsUnhealthy() throws IOException {
        HostOrders.Target target = new HostOrders.Target("host", closedAddress(), 1);
        HostOrders.StartOrder order = new HostOrders.StartOrder(
                target, new RunKey(new TaskKey("job", 0, 0, 0), 1), "run", 1_000, "", Optional.empty());
        assertEquals(
                StartOutcome.UNHEALTHY,
                new HostClient(client).start(order).join().outcome());
    }
}
