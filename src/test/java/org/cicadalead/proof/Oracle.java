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

/** Checks the eight invariants of the brief, one per method, against what hosts and callers observed. */
final class Oracle {
    private static final long MAX_LEAVING_NANOSECONDS = Duration.ofSeconds(2).toNanos();
    private static final long MAX_PROPAGATION_NANOSECONDS =
            Duration.ofSeconds(4).toNanos();

    private final Map<ProcessIdentifier, Long> lastVersions = new HashMap<>();

    /**
     * Checks that every service's availability budget holds. The simulation fails at most one rack at a time, which is
     * what budgets cover.
     */
    void budgetsHold(SharedState state, Map<HostName, ProofHost> hosts) {
        Map<PoolName, Integer> workingHosts = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (hosts.get(host.name()).isWorking()
                    && host.move().isEmpty()
                    && host.maintenance().isAvailable()) {
                workingHosts.merge(host.pool(), 1, Integer::sum);
            }
        }
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            int count = workingHosts.getOrDefault(service.pool(), 0);
            require(count >= service.budget().minimumAvailable(), "budgetsHold", service.name() + " has " + count);
        }
    }

    /** Checks that a host receives only work of the one pool to which the log assigns it. */
    void workReachesOnlyTheHostsPool(SharedState state, ProofRequest request, HostName host) {
        PoolName pool =
                state.configuration().merged().services().get(request.service()).pool();
        PoolName hostPool = state.hosts().get(host).pool();
        require(
                pool.equals(hostPool),
                "workReachesOnlyTheHostsPool",
                request + " of " + pool + " on " + host + " of " + hostPool);
    }

    /** Checks that a caller receives the response to its own request, and exactly one response. */
    void callersGetTheirOwnAnswer(ProofRequest request, int respondedNumber, boolean isAlreadyCompleted) {
        require(
                respondedNumber == request.number() && !isAlreadyCompleted,
                "callersGetTheirOwnAnswer",
                request + " got " + respondedNumber);
    }

    /** Checks that a request that was rejected as not run did not run. */
    void refusedRequestsDidNotRun(ProofRequest request) {
        boolean ran = request.isRefused() && request.runCount() > 0;
        require(!ran, "refusedRequestsDidNotRun", request + " ran " + request.runCount() + " times");
    }

    /** Checks that a non-idempotent request runs at most once. */
    void nonIdempotentRequestsRunOnce(ProofRequest request) {
        require(
                request.isIdempotent() || request.runCount() <= 1,
                "nonIdempotentRequestsRunOnce",
                request + " ran " + request.runCount() + " times");
    }

    /** Checks that a leaving upstream receives no new work later than 2 s after the process could know of it. */
    void leavingHostsGetNoNewWork(HostName host, long knownSince, long now) {
        require(now - knownSince <= MAX_LEAVING_NANOSECONDS, "leavingHostsGetNoNewWork", host.value());
    }

    /** Checks that every planned stop is a graceful shutdown: no request is in flight when it ends. */
    void plannedStopsCutNothingOff(Object stoppedComponent, int inFlight) {
        require(inFlight == 0, "plannedStopsCutNothingOff", stoppedComponent + " with " + inFlight + " in flight");
    }

    /**
     * Checks that an accepted configuration is in force within seconds on every process that can reach the log, and
     * that a process never reverts to an older version.
     */
    void configurationNeverReverts(
            ProofProcess process, long acceptedVersion, long reachableAndAcceptedSince, long now) {
        long version = process.state().configuration().version();
        long previousVersion = lastVersions.getOrDefault(process.identifier(), 0L);
        require(
                version >= previousVersion,
                "configurationNeverReverts",
                process.identifier() + " from " + previousVersion);
        boolean isDue = now - reachableAndAcceptedSince > MAX_PROPAGATION_NANOSECONDS;
        require(!isDue || version >= acceptedVersion, "configurationNeverReverts", acceptedVersion + " not in force");
        lastVersions.put(process.identifier(), version);
    }

    private static void require(boolean holds, String invariant, String detail) {
        if (!holds) {
            throw new InvariantViolationException(invariant, detail);
        }
    }
}
