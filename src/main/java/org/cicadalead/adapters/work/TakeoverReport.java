package org.cicadalead.adapters.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.logic.work.ClosedService;
import org.cicadalead.logic.work.EarlierHosts;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.HostClaim;

/**
 * Logs for which hosts of earlier terms a new term waits: once when it has loaded, once a service that stays closed,
 * and once when such a service opens. Used on the scheduling thread.
 */
final class TakeoverReport {
    /** Time after loading within which responding hosts have replied, so that the hosts that stay are worth a line. */
    private static final long GRACE_MILLISECONDS = 1_000;

    /** Maximum number of hosts that a line names. */
    private static final int MAX_NAMED_HOSTS = 8;

    private final DecisionLog log;
    private final WorkScheduler scheduler;
    private final long loadedAt;
    private final Map<String, ClosedService> closedServices = new HashMap<>();
    private boolean graceEnded;
    private boolean complete;

    TakeoverReport(DecisionLog log, WorkScheduler scheduler, WorkTime loadedAt) {
        this.log = log;
        this.scheduler = scheduler;
        this.loadedAt = loadedAt.monotonic();
    }

    /** Logs that the term has loaded, and how its predecessor announced the hosts that may have runs. */
    void logLoaded(long epoch, long startedAt, EarlierHosts earlier, Collection<HostClaim> claims) {
        long answering = claims.stream().filter(HostClaim::answering).count();
        log.emit(
                EventKind.TERM_LOADED,
                EventDetail.of("epoch", epoch),
                EventDetail.of("loadMilliseconds", loadedAt - startedAt),
                EventDetail.of("earlierHosts", earlier.services().size()),
                EventDetail.of("answeringClaims", answering),
                EventDetail.of("expiringClaims", claims.size() - answering),
                EventDetail.of("unclaimedHosts", earlier.services().size() - claims.size()),
                EventDetail.of(
                        "longestWaitMilliseconds",
                        earlier.leaseExpiresAfter().values().stream()
                                .mapToLong(Long::longValue)
                                .max()
                                .orElse(0)));
    }

    /** Logs the services that stay closed or have opened; does nothing once all services are open. */
    void logChanges(WorkTime now) {
        if (complete || now.monotonic() - loadedAt < GRACE_MILLISECONDS) {
            return;
        }
        Map<String, ClosedService> closedNow = scheduler.findClosedServices(now);
        if (!graceEnded) {
            graceEnded = true;
            closedServices.putAll(closedNow);
            closedNow.forEach((service, closed) -> logClosed(service, closed, now));
        }
        closedServices.keySet().removeIf(service -> {
            boolean opened = !closedNow.containsKey(service);
            if (opened) {
                log.emit(
                        EventKind.SERVICE_OPENED,
                        EventDetail.of("service", service),
                        EventDetail.of("waitedMilliseconds", now.monotonic() - loadedAt));
            }
            return opened;
        });
        complete = closedServices.isEmpty();
    }

    private void logClosed(String service, ClosedService closed, WorkTime now) {
        log.emit(
                EventKind.SERVICE_CLOSED,
                EventDetail.of("service", service),
                EventDetail.of("hosts", closed.hosts().size()),
                EventDetail.of(
                        "someHosts",
                        closed.hosts().stream().sorted().limit(MAX_NAMED_HOSTS).toList()),
                EventDetail.of("opensAfterMilliseconds", closed.opensAt() - now.monotonic()));
    }
}
