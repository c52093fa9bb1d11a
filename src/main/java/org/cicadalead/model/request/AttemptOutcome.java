package org.cicadalead.model.request;

import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.Execution;

/** How one attempt at one upstream ended. */
public enum AttemptOutcome {
    /** The upstream responded with a status below 500, which is no failure of the upstream. */
    ANSWERED(0, ErrorKind.INTERNAL, Execution.RAN),
    /** The upstream responded with a status of 500 or more. */
    ANSWERED_WITH_ERROR(1, ErrorKind.UPSTREAM_REFUSED, Execution.RAN),
    /** No connection was made, so no byte was sent. */
    NOT_CONNECTED(1, ErrorKind.NO_UPSTREAM, Execution.NOT_RUN),
    /** The view of the host was out of date before the first byte was sent. */
    VIEW_OUT_OF_DATE(0, ErrorKind.NO_UPSTREAM, Execution.NOT_RUN),
    /** The connection broke after the first byte may have been sent. */
    CONNECTION_LOST(1, ErrorKind.OUTCOME_UNKNOWN, Execution.UNKNOWN),
    /** No response arrived in time. */
    TIMED_OUT(2, ErrorKind.UPSTREAM_TIMEOUT, Execution.UNKNOWN),
    /** The caller's body ended early or stalled, which is no failure of the upstream. */
    CALLER_FAILED(0, ErrorKind.SLOW_REQUEST, Execution.UNKNOWN);

    private final int failureWeight;
    private final ErrorKind errorKind;
    private final Execution execution;

    AttemptOutcome(int failureWeight, ErrorKind errorKind, Execution execution) {
        this.failureWeight = failureWeight;
        this.errorKind = errorKind;
        this.execution = execution;
    }

    /** Returns the weight with which the outcome counts as a failure of the upstream; 0 for no failure. */
    public int failureWeight() {
        return failureWeight;
    }

    /** Returns the error kind that the caller receives when no further attempt is made. */
    public ErrorKind errorKind() {
        return errorKind;
    }

    /** Returns whether another upstream may succeed. */
    public boolean isRetryable() {
        return this == NOT_CONNECTED || this == VIEW_OUT_OF_DATE || this == CONNECTION_LOST;
    }

    /** Returns what is known about whether the attempt ran. */
    public Execution execution() {
        return execution;
    }
}
