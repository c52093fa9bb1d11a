package org.cicadalead.adapters.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.platform.PlatformMessages.RebootRequest;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.ports.HostMaintenance;

/** Reboots of hosts, kept in memory: each takes a fixed time. Safe for use by several threads. */
public final class RebootStandIn implements HostMaintenance {
    /** Path under which reboots are served; a host's name follows. */
    public static final String PATH = "/reboots/";

    private static final Duration DEFAULT_DURATION = Duration.ofSeconds(2);

    private final LongSupplier nanoTime;
    private final Map<HostName, Reboot> reboots = new ConcurrentHashMap<>();
    private final Set<HostName> broken = ConcurrentHashMap.newKeySet();
    private volatile Duration duration = DEFAULT_DURATION;

    RebootStandIn(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Sets how long further reboots take. */
    public void setDuration(Duration newDuration) {
        duration = newDuration;
    }

    /** Makes a host not start again after its next reboots. */
    public void breakHost(HostName host) {
        broken.add(host);
    }

    /** Mends a host. */
    public void mendHost(HostName host) {
        broken.remove(host);
    }

    /** Tells whether a host is away for a reboot or broken by one. */
    public boolean isAway(HostName host) {
        return condition(host).progress() != HostCondition.Progress.RUNNING;
    }

    @Override
    public void reboot(HostName host, long operation) {
        long end = nanoTime.getAsLong() + duration.toNanos();
        reboots.merge(
                host,
                new Reboot(operation, end),
                (earlier, later) -> later.operation > earlier.operation ? later : earlier);
    }

    @Override
    public HostCondition condition(HostName host) {
        Reboot reboot = reboots.get(host);
        if (reboot == null) {
            return HostCondition.neverRebooted();
        }
        if (nanoTime.getAsLong() - reboot.endNanoseconds < 0) {
            return new HostCondition(reboot.operation, HostCondition.Progress.REBOOTING);
        }
        return new HostCondition(
                reboot.operation,
                broken.contains(host) ? HostCondition.Progress.BROKEN : HostCondition.Progress.RUNNING);
    }

    void addTo(HttpServer server) {
        server.createContext(PATH, JsonExchange.withErrorResponses(this::handle));
    }

    private void handle(HttpExchange exchange) throws IOException {
        HostName host = new HostName(exchange.getRequestURI().getPath().substring(PATH.length()));
        switch (exchange.getRequestMethod()) {
            case "POST" ->
                reboot(
                        host,
                        JsonExchange.readBody(exchange, RebootRequest.class).operation());
            case "GET" -> condition(host);
            default -> throw new CicadaleadException(ErrorKind.METHOD_NOT_ALLOWED, "Use GET or POST");
        }
        JsonExchange.respond(exchange, condition(host));
    }

    private record Reboot(long operation, long endNanoseconds) {}
}
