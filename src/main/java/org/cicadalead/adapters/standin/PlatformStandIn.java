package org.cicadalead.adapters.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.platform.PlatformMessages.AppendResponse;
import org.cicadalead.adapters.platform.PlatformMessages.ReadResponse;
import org.cicadalead.adapters.platform.PlatformMessages.RecordResponse;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.ports.HostDirectory.DirectoryEntry;
import org.cicadalead.ports.PlatformLog;

/** Serves the platform's protocol over HTTP from in-memory state. Safe for use by several threads. */
public final class PlatformStandIn implements AutoCloseable {
    /** Number of log records in a response when the request specifies no limit. */
    private static final int DEFAULT_LIMIT = 500;

    private static final int CREATED = 201;

    private final LogStandIn log = new LogStandIn();
    private final Map<HostName, HostHealth> hosts = new ConcurrentSkipListMap<>();
    private final TaskStandIn tasks = new TaskStandIn(System::nanoTime);
    private final RebootStandIn reboots = new RebootStandIn(System::nanoTime);
    private final ExecutorService threads = HttpServers.createDaemonExecutor("platform-stand-in");
    private final HttpServer server;

    /** Starts a stand-in; port 0 selects any free port. */
    public PlatformStandIn(String address, int port) {
        server = HttpServers.bind(address, port);
        server.setExecutor(threads);
        server.createContext("/log/records", JsonExchange.withErrorResponses(this::handleLog));
        server.createContext("/hosts", JsonExchange.withErrorResponses(this::handleHosts));
        TaskStandInRoutes.registerWith(server, tasks);
        reboots.registerWith(server);
        server.start();
    }

    /** Returns the address at which it listens. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    /** Returns its log, to inject outages and expiry. */
    public LogStandIn log() {
        return log;
    }

    /** Returns its tasks, to inject faults and to read which tasks were executed. */
    public TaskStandIn tasks() {
        return tasks;
    }

    /** Returns its reboots, to inject faults. */
    public RebootStandIn reboots() {
        return reboots;
    }

    /** Adds a host to the host list, or replaces its health. */
    public void putHost(HostName host, HostHealth health) {
        hosts.put(host, health);
    }

    /** Removes a failed host from the host list. */
    public void removeHost(HostName host) {
        hosts.remove(host);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handleLog(HttpExchange exchange) throws IOException {
        switch (exchange.getRequestMethod()) {
            case "POST" -> append(exchange);
            case "GET" -> read(exchange);
            default -> throw new CicadaleadException(ErrorKind.METHOD_NOT_ALLOWED, "Use GET or POST");
        }
    }

    private void append(HttpExchange exchange) throws IOException {
        long offset;
        try {
            offset = log.append(exchange.getRequestBody().readAllBytes());
        } catch (CicadaleadException failure) {
            if (failure.kind() == ErrorKind.LOG_OUTCOME_UNKNOWN) {
                exchange.close();
                return;
            }
            throw failure;
        }
        byte[] response = JsonExchange.encode(new AppendResponse(offset));
        exchange.sendResponseHeaders(CREATED, response.length);
        exchange.getResponseBody().write(response);
    }

    private void read(HttpExchange exchange) throws IOException {
        long fromOffset = parseNumber(exchange, "from", 1);
        int limit = (int) parseNumber(exchange, "limit", DEFAULT_LIMIT);
        Duration wait = Duration.ofMillis(parseNumber(exchange, "wait-milliseconds", 0));
        PlatformLog.LogBatch batch = log.read(fromOffset, limit, wait);
        List<RecordResponse> records = batch.records().stream()
                .map(record -> new RecordResponse(record.offset(), record.payload()))
                .toList();
        JsonExchange.respond(exchange, new ReadResponse(batch.oldestOffset(), batch.nextOffset(), records));
    }

    private void handleHosts(HttpExchange exchange) throws IOException {
        JsonExchange.respond(
                exchange,
                hosts.entrySet().stream()
                        .filter(entry -> !reboots.isUnavailable(entry.getKey()))
                        .map(entry -> new DirectoryEntry(entry.getKey(), entry.getValue()))
                        .toList());
    }

    private static long parseNumber(HttpExchange exchange, String name, long defaultValue) {
        try {
            return JsonExchange.queryParameter(exchange, name)
                    .map(Long::parseLong)
                    .orElse(defaultValue);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST, "'" + name + "' must be a whole number", malformed);
        }
    }
}
