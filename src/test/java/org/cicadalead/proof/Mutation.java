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
    CONFUSES_ANSWERS("callersGetTheirOwnAnswer"),
    /** A lost answer is told as not run. */
    TELLS_LOST_AS_NOT_RUN("refusedRequestsDidNotRun"),
    /** A request whose answer was lost is sent again, idempotent or not. */
    RETRIES_EVERYTHING("nonIdempotentRequestsRunOnce"),
    /** The platform's announcement of a leaving host is taken for that of a live one. */
    IGNORES_LEAVING("leavingHostsGetNoNewWork"),
    /** An entry process stops without waiting for its requests. */
    STOPS_AT_ONCE("plannedStopsCutNothingOff"),
    /** A resumed process goes back to an earlier state. */
    GOES_BACK("configurationNeverReverts");

    private final String caughtBy;

    Mutation(String caughtBy) {
        this.caughtBy = caughtBy;
    }

    /** Returns the invariant that must catch it. */
    String caughtBy() {
        return caughtBy;
    }
}
