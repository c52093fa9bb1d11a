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

/** Simulates reboots of hosts in memory; each takes a fixed time. Safe for use by several threads. */
public final class RebootStandIn implements HostMaintenance {
    /** Path prefix of reboots, followed by the name of a host. */
    public static final String PATH = "/reboots/";

    private static final Duration DEFAULT_DURATION = Duration.ofSeconds(2);

    private final LongSupplier nanoTime;
    private final Map<HostName, Reboot> reboots = new ConcurrentHashMap<>();
    private final Set<HostName> brokenHosts = ConcurrentHashMap.newKeySet();
    private volatile Duration duration = DEFAULT_DURATION;

    RebootStandIn(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Sets the duration of further reboots. */
    public void setDuration(Duration newDuration) {
        duration = newDuration;
    }

    /** Makes a host fail to start after its next reboots. */
    public void breakHost(HostName host) {
        brokenHosts.add(host);
    }

    /** Makes a broken host start again after reboots. */
    public void repairHost(HostName host) {
        brokenHosts.remove(host);
    }

    /** Returns whether a host is rebooting or did not start after a reboot. */
    public boolean isUnavailable(HostName host) {
        return condition(host).progress() != HostCondition.Progress.RUNNING;
    }

    @Override
    public void reboot(HostName host, long operation) {
        long endNanoseconds = nanoTime.getAsLong() + duration.toNanos();
        reboots.merge(
                host,
                new Reboot(operation, endNanoseconds),
                (existing, requested) -> requested.operation > existing.operation ? requested : existing);
    }

    @Override
    public HostCondition condition(HostName host) {
        Reboot reboot = reboots.get(host);
        if (reboot == null) {
            return HostCondition.neverRebooted();
        }
        if (nanoTime.getAsLong() - reboot.endsAtNanoseconds < 0) {
            return new HostCondition(reboot.operation, HostCondition.Progress.REBOOTING);
        }
        return new HostCondition(
                reboot.operation,
                brokenHosts.contains(host) ? HostCondition.Progress.BROKEN : HostCondition.Progress.RUNNING);
    }

    void registerWith(HttpServer server) {
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

    private record Reboot(long operation, long endsAtNanoseconds) {}
}
