package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Keeps a new term from starting what an earlier term may still run. A service is open once each of its hosts that an
 * earlier term may have used has answered in this term, which also fences the earlier ones there, or can have no lease
 * any more; jobs that no earlier term can have started are admitted before. Answers the loss of the scheduling process
 * while hosts are out of reach, also several times in a row. For use by one thread.
 */
final class TakeoverGate {
    private final EarlierHosts earlier;
    private final long earlierStartsEndAt;
    private final Map<String, UnresolvedHost> unresolved = new HashMap<>();

    TakeoverGate(EarlierHosts earlier, long now, long earlierStartsOver) {
        this.earlier = earlier;
        this.earlierStartsEndAt = earlierStartsOver;
        earlier.services()
                .forEach((host, service) -> unresolved.put(
                        host,
                        new UnresolvedHost(
                                service, now + earlier.leaseExpiresAfter().getOrDefault(host, 0L))));
    }

    /** A host has answered in this term, or is known to run nothing. */
    void resolve(String host) {
        unresolved.remove(host);
    }

    /** Tells whether a job may start: nothing of an earlier term can run it, or its service is open. */
    boolean canStart(WorkJob job, long now) {
        return !mayHaveStarted(job.identifier())
                || job.receivedAt > earlierStartsEndAt
                || isOpen(job.submission.service(), now);
    }

    /** Tells whether an earlier term may have started something of a job, as it stated before it did. */
    boolean mayHaveStarted(String job) {
        return earlier.mayHaveStarted(job);
    }

    private boolean isOpen(String service, long now) {
        for (UnresolvedHost host : unresolved.values()) {
            if (host.service().equals(service) && now < host.leaseExpiresAt()) {
                return false;
            }
        }
        return true;
    }

    /** Returns hosts that keep services closed. */
    Set<String> findBlockingHosts(long now) {
        Set<String> hosts = new HashSet<>();
        unresolved.forEach((host, waiting) -> {
            if (now < waiting.leaseExpiresAt()) {
                hosts.add(host);
            }
        });
        return hosts;
    }

    /** Returns how long a host may still run something for an earlier term, with its service. */
    Map<String, UnresolvedHost> unresolved() {
        return Map.copyOf(unresolved);
    }

    record UnresolvedHost(String service, long leaseExpiresAt) {}
}
