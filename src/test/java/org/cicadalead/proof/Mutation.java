package org.cicadalead.proof;

/** A fault that is built into the world, so that the suite is seen to catch it. */
enum Mutation {
    /** Nothing is changed. */
    NONE(""),
    /** An operator takes hosts out of a pool past the fold. */
    REMOVES_HOSTS_WITHOUT_BUDGET("budgetsHold"),
    /** Withdrawals are acknowledged with work in flight, which is then sent without a look at the host's record. */
    ACKNOWLEDGES_TOO_EARLY("workReachesOnlyTheHostsPool"),
    /** A process gives a caller the answer of another request. */
    MIXES_UP_RESPONSES("callersGetTheirOwnAnswer"),
    /** A lost answer is told as not run. */
    REPORTS_LOST_AS_NOT_RUN("refusedRequestsDidNotRun"),
    /** A request whose answer was lost is sent again, idempotent or not. */
    RETRIES_EVERYTHING("nonIdempotentRequestsRunOnce"),
    /** The platform's announcement of a leaving host is taken for that of a live one. */
    IGNORES_LEAVING("leavingHostsGetNoNewWork"),
    /** An entry process stops without waiting for its requests. */
    STOPS_WITHOUT_DRAINING("plannedStopsCutNothingOff"),
    /** A resumed process goes back to an earlier state. */
    REVERTS_STATE("configurationNeverReverts");

    private final String expectedInvariant;

    Mutation(String caughtBy) {
        this.expectedInvariant = caughtBy;
    }

    /** Returns the invariant that must catch it. */
    String expectedInvariant() {
        return expectedInvariant;
    }
}
