package org.cicadalead.proof;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/** The eight invariants of the brief, one method each, judged by what hosts and callers saw. */
final class Oracle {
    private static final long MAX_LEAVING_NANOSECONDS = Duration.ofSeconds(2).toNanos();
    private static final long MAX_PROPAGATION_NANOSECONDS =
            Duration.ofSeconds(4).toNanos();

    private final Map<ProcessIdentifier, Long> lastVersions = new HashMap<>();

    /** Every service's availability budget holds; the world fails at most one rack at a time, as budgets cover. */
    void budgetsHold(SharedState truth, Map<HostName, ProofHost> hosts) {
        Map<PoolName, Integer> working = new HashMap<>();
        for (HostState host : truth.hosts().values()) {
            if (hosts.get(host.name()).isWorking()
                    && host.move().isEmpty()
                    && host.maintenance().isAvailable()) {
                working.merge(host.pool(), 1, Integer::sum);
            }
        }
        for (ServiceDefinition service :
                truth.configuration().merged().services().values()) {
            int count = working.getOrDefault(service.pool(), 0);
            require(count >= service.budget().minimumAvailable(), "budgetsHold", service.name() + " has " + count);
        }
    }

    /** A host belongs to exactly one pool: only work of its pool in the log reaches it. */
    void workReachesOnlyTheHostsPool(SharedState truth, ProofRequest request, HostName host) {
        PoolName pool =
                truth.configuration().merged().services().get(request.service()).pool();
        PoolName owner = truth.hosts().get(host).pool();
        require(
                pool.equals(owner),
                "workReachesOnlyTheHostsPool",
                request + " of " + pool + " on " + host + " of " + owner);
    }

    /** A caller receives the whole answer to its own request, and one answer only. */
    void callersGetTheirOwnAnswer(ProofRequest request, int answered, boolean again) {
        require(answered == request.number() && !again, "callersGetTheirOwnAnswer", request + " got " + answered);
    }

    /** What is refused as not run truly did not run. */
    void refusedRequestsDidNotRun(ProofRequest request) {
        boolean ran = request.isRefused() && request.runCount() > 0;
        require(!ran, "refusedRequestsDidNotRun", request + " ran " + request.runCount() + " times");
    }

    /** A non-idempotent request runs at most once. */
    void nonIdempotentRequestsRunOnce(ProofRequest request) {
        require(
                request.isIdempotent() || request.runCount() <= 1,
                "nonIdempotentRequestsRunOnce",
                request + " ran " + request.runCount() + " times");
    }

    /** An upstream that is leaving receives no new work 2 s after the process could know. */
    void leavingHostsGetNoNewWork(HostName host, long knownSince, long now) {
        require(now - knownSince <= MAX_LEAVING_NANOSECONDS, "leavingHostsGetNoNewWork", host.value());
    }

    /** Every planned stop is a graceful shutdown: nothing is in flight when it ends. */
    void plannedStopsCutNothingOff(Object stopped, int inFlight) {
        require(inFlight == 0, "plannedStopsCutNothingOff", stopped + " with " + inFlight + " in flight");
    }

    /** An accepted configuration is in force within seconds wherever the log can be reached, and never reverts. */
    void configurationNeverReverts(ProofProcess process, long accepted, long reachableAndAcceptedSince, long now) {
        long version = process.state().configuration().version();
        long before = lastVersions.getOrDefault(process.identifier(), 0L);
        require(version >= before, "configurationNeverReverts", process.identifier() + " from " + before);
        boolean due = now - reachableAndAcceptedSince > MAX_PROPAGATION_NANOSECONDS;
        require(!due || version >= accepted, "configurationNeverReverts", accepted + " not in force");
        lastVersions.put(process.identifier(), version);
    }

    private static void require(boolean holds, String invariant, String detail) {
        if (!holds) {
            throw new InvariantViolationException(invariant, detail);
        }
    }
}
