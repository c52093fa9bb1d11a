package org.cicadalead.proof;

/** A fault that is deliberately built into the simulation, to prove that the oracle detects it. */
enum Mutation {
    /** No fault. */
    NONE(""),
    /** An operator takes hosts out of a pool without going through the fold, which enforces the budgets. */
    REMOVES_HOSTS_WITHOUT_BUDGET("budgetsHold"),
    /** Withdrawals are acknowledged while work is in flight, which is then sent without checking the host's record. */
    ACKNOWLEDGES_TOO_EARLY("workReachesOnlyTheHostsPool"),
    /** A process returns the response of another request to a caller. */
    MIXES_UP_RESPONSES("callersGetTheirOwnAnswer"),
    /** A request whose response was lost is reported as not run. */
    REPORTS_LOST_AS_NOT_RUN("refusedRequestsDidNotRun"),
    /** A request whose response was lost is retried, even when it is not idempotent. */
    RETRIES_EVERYTHING("nonIdempotentRequestsRunOnce"),
    /** A host that the platform announces as leaving is treated as up. */
    IGNORES_LEAVING("leavingHostsGetNoNewWork"),
    /** An entry process stops without waiting for its requests in flight. */
    STOPS_WITHOUT_DRAINING("plannedStopsCutNothingOff"),
    /** A resumed process reverts to an earlier state. */
    REVERTS_STATE("configurationNeverReverts");

    private final String expectedInvariant;

    Mutation(String caughtBy) {
        this.expectedInvariant = caughtBy;
    }

    /** Returns the name of the invariant that this fault must violate. */
    String expectedInvariant() {
        return expectedInvariant;
    }
}
