package org.cicadalead.adapters.request;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;

/**
 * Keeps one HTTP client, and thus one set of connections, for each combination of host and pool. A client is never used
 * again after the connections of its host were closed or the host moved to another pool; its idle connections then
 * close within the keep-alive time that {@link HttpServers#configureProcess} sets. Safe for use by several threads.
 */
final class UpstreamClients implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final Map<HostName, PoolClient> clients = new ConcurrentHashMap<>();
    private final ExecutorService threads = HttpServers.createDaemonExecutor("upstream");

    /** Returns the client for the pool and address of a route, creating it if needed. */
    HttpClient clientFor(HostRoute route) {
        PoolName pool = route.state().pool();
        NetworkAddress address = route.definition().address();
        return clients.compute(
                        route.state().name(),
                        (host, existing) -> existing != null && existing.matches(pool, address)
                                ? existing
                                : new PoolClient(pool, address, newClient()))
                .client();
    }

    /** Discards the client of a host. */
    void close(HostName host) {
        clients.remove(host);
    }

    @Override
    public void close() {
        clients.clear();
        threads.shutdown();
    }

    private HttpClient newClient() {
        HttpServers.configureProcess();
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(threads)
                .build();
    }

    private record PoolClient(PoolName pool, NetworkAddress address, HttpClient client) {
        boolean matches(PoolName otherPool, NetworkAddress otherAddress) {
            return pool.equals(otherPool) && address.equals(otherAddress);
        }
    }
}
