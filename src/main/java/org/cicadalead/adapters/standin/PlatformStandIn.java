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
import org.cicadalead.adapters.platform.PlatformMessages.AppendAnswer;
import org.cicadalead.adapters.platform.PlatformMessages.ReadAnswer;
import org.cicadalead.adapters.platform.PlatformMessages.RecordAnswer;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.ports.HostDirectory.DirectoryEntry;
import org.cicadalead.ports.PlatformLog;

/** Serves the platform's protocol from memory. Safe for use by several threads. */
public final class PlatformStandIn implements AutoCloseable {
    private static final int DEFAULT_LIMIT = 500;
    private static final int CREATED = 201;

    private final LogStandIn log = new LogStandIn();
    private final Map<HostName, HostHealth> hosts = new ConcurrentSkipListMap<>();
    private final TaskStandIn tasks = new TaskStandIn(System::nanoTime);
    private final RebootStandIn reboots = new RebootStandIn(System::nanoTime);
    private final ExecutorService threads = HttpServers.createDaemonExecutor("platform-stand-in");
    private final HttpServer server;

    /** Starts a stand-in; port 0 takes any free one. */
    public PlatformStandIn(String address, int port) {
        server = HttpServers.bind(address, port);
        server.setExecutor(threads);
        server.createContext("/log/records", JsonExchange.withErrorResponses(this::handleLog));
        server.createContext("/hosts", JsonExchange.withErrorResponses(this::handleHosts));
        TaskStandInRoutes.addTo(server, tasks);
        reboots.addTo(server);
        server.start();
    }

    /** Returns where it listens. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    /** Returns its log, to cause outages and expiry. */
    public LogStandIn log() {
        return log;
    }

    /** Returns its tasks, to cause faults and to see what really ran. */
    public TaskStandIn tasks() {
        return tasks;
    }

    /** Returns its reboots, to cause faults. */
    public RebootStandIn reboots() {
        return reboots;
    }

    /** Lists a host as live or leaving. */
    public void putHost(HostName host, HostHealth health) {
        hosts.put(host, health);
    }

    /** Takes a failed host off the list. */
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
        } catch (CicadaleadException lost) {
            if (lost.kind() == ErrorKind.LOG_OUTCOME_UNKNOWN) {
                exchange.close();
                return;
            }
            throw lost;
        }
        byte[] answer = JsonExchange.encode(new AppendAnswer(offset));
        exchange.sendResponseHeaders(CREATED, answer.length);
        exchange.getResponseBody().write(answer);
    }

    private void read(HttpExchange exchange) throws IOException {
        long from = number(exchange, "from", 1);
        int limit = (int) number(exchange, "limit", DEFAULT_LIMIT);
        Duration wait = Duration.ofMillis(number(exchange, "wait-milliseconds", 0));
        PlatformLog.LogBatch batch = log.read(from, limit, wait);
        List<RecordAnswer> records = batch.records().stream()
                .map(record -> new RecordAnswer(record.offset(), record.payload()))
                .toList();
        JsonExchange.respond(exchange, new ReadAnswer(batch.oldestOffset(), batch.nextOffset(), records));
    }

    private void handleHosts(HttpExchange exchange) throws IOException {
        JsonExchange.respond(
                exchange,
                hosts.entrySet().stream()
                        .filter(entry -> !reboots.isAway(entry.getKey()))
                        .map(entry -> new DirectoryEntry(entry.getKey(), entry.getValue()))
                        .toList());
    }

    private static long number(HttpExchange exchange, String name, long missing) {
        try {
            return JsonExchange.queryParameter(exchange, name)
                    .map(Long::parseLong)
                    .orElse(missing);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST, "'" + name + "' must be a whole number", malformed);
        }
    }
}
