package org.cicadalead.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.http.PlaintextHttpClients;
import org.cicadalead.platform.LoopbackWorker.RunListener;

/**
 * A platform on the loopback interface: a store, workers, and entry processes that use them. Not safe for use by
 * several threads.
 */
final class LoopbackPlatform implements AutoCloseable {
    private static final String ADDRESS = "127.0.0.1";
    private static final int WORKER_MILLICORES = 4_000;
    private static final int WORKER_MEGABYTES = 8_000;

    /** First port for entry processes: above the ports of services. */
    private static final int MIN_PORT = 20_000;

    /** End of the ports for entry processes: Linux assigns ports from 32,768 on to outgoing connections. */
    private static final int MAX_PORT = 32_000;

    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

    final LoopbackStore store = new LoopbackStore();
    final List<LoopbackWorker> workers = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<PlatformEntry> entries = new ArrayList<>();
    private final Path folder;
    private final HttpClient client = PlaintextHttpClients.newBuilder().build();
    private final Map<String, StoreAccess> storeAccess = new HashMap<>();
    private final Map<String, Integer> servedCalls = new HashMap<>();
    private final int storePort;

    /** How the store treats an entry process. */
    enum StoreAccess {
        /** Its calls are served. */
        SERVED,
        /** Its calls are rejected. */
        REFUSED,
        /** Its calls get no response. */
        SILENT
    }

    LoopbackPlatform(Path folder, int workerCount) {
        this.folder = folder;
        this.storePort = startServer(exchange -> store.handle(exchange));
        for (int number = 0; number < workerCount; number++) {
            LoopbackWorker worker =
                    new LoopbackWorker("worker-" + number, WORKER_MILLICORES, WORKER_MEGABYTES, RunListener.NONE);
            workers.add(worker);
            store.putWorker(worker, ADDRESS + ":" + startServer(worker::handle));
        }
        putConfiguration(1, "");
    }

    /** Puts a configuration into the store, as {@link LoopbackStore#putConfiguration} does. */
    void putConfiguration(long version, String tenants) {
        store.putConfiguration(version, tenants);
    }

    String storeAddress() {
        return ADDRESS + ":" + storePort;
    }

    private int startServer(HttpHandler handler) {
        HttpServer server = HttpServers.bind(ADDRESS, 0);
        server.setExecutor(HttpServers.createDaemonExecutor("loopback"));
        server.createContext("/", handler);
        server.start();
        servers.add(server);
        return server.getAddress().getPort();
    }

    /**
     * Returns a port that was free, and no port twice, as it is not in use until its server starts. It is below the
     * range from which systems assign ports to outgoing connections, as one of these may take a port between this call
     * and the start of the server.
     */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            if (!USED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                // The next port is tried.
            }
        }
    }

    /**
     * Sets how the store treats an entry process from now on, while it serves the others and the operator. Returns once
     * the calls that it was serving have ended, as one that waits for records would tell of those that follow.
     */
    synchronized void setStoreAccess(String name, StoreAccess access) throws InterruptedException {
        storeAccess.put(name, access);
        while (servedCalls.getOrDefault(name, 0) > 0) {
            wait();
        }
    }

    private synchronized StoreAccess beginStoreCall(String name) {
        StoreAccess access = storeAccess.getOrDefault(name, StoreAccess.SERVED);
        servedCalls.merge(name, access == StoreAccess.SERVED ? 1 : 0, Integer::sum);
        return access;
    }

    private synchronized void endServedCall(String name) {
        servedCalls.merge(name, -1, Integer::sum);
        notifyAll();
    }

    private void handleStoreCall(String name, HttpExchange exchange) throws IOException {
        switch (beginStoreCall(name)) {
            case SERVED -> {
                try {
                    store.handle(exchange);
                } finally {
                    endServedCall(name);
                }
            }
            case REFUSED -> {
                try (exchange) {
                    exchange.getRequestBody().readAllBytes();
                    send(exchange, PlatformHttpClient.SERVICE_UNAVAILABLE, new byte[0]);
                }
            }
            default -> exchange.getRequestBody().readAllBytes();
        }
    }

    /** Starts an entry process and returns its address for callers. */
    String startEntry(String name) throws IOException {
        return startEntry(name, OutputStream.nullOutputStream());
    }

    /** Starts an entry process that writes its log to a stream, and returns its address for callers. */
    String startEntry(String name, OutputStream logOutput) throws IOException {
        int frontend = freePort();
        Path file = folder.resolve(name + ".conf");
        new LoopbackSettings(
                        name,
                        ADDRESS,
                        frontend,
                        freePort(),
                        freePort(),
                        ADDRESS + ":" + startServer(exchange -> handleStoreCall(name, exchange)),
                        ADDRESS + ":" + storePort,
                        1)
                .write(file);
        entries.add(new PlatformEntry(PlatformSettings.read(file), logOutput, OptionalInt.of(freePort())));
        return ADDRESS + ":" + frontend;
    }

    PlatformEntry entry(int number) {
        return entries.get(number);
    }

    /** Sends a request as a caller does. */
    HttpResponse<String> sendRequest(String method, String address, String authority, String path, String body)
            throws IOException, InterruptedException {
        return sendRequest(method, address, authority, path, body, Optional.empty());
    }

    /** Sends a request as a caller does that has a key. */
    HttpResponse<String> sendRequest(
            String method, String address, String authority, String path, String body, Optional<String> key)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Host", authority)
                .header("X-Deadline-Ms", "3000")
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        key.ifPresent(value -> request.header("X-Credential", value));
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static Map<String, String> parseQuery(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String parameter : Optional.ofNullable(exchange.getRequestURI().getRawQuery())
                .orElse("")
                .split("&", -1)) {
            int separator = parameter.indexOf('=');
            if (separator > 0) {
                values.put(
                        parameter.substring(0, separator),
                        URLDecoder.decode(parameter.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    @Override
    public void close() {
        entries.forEach(PlatformEntry::stopGracefully);
        servers.forEach(server -> server.stop(0));
    }
}
