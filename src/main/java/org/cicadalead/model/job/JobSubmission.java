package org.cicadalead.model.job;

import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;

/**
 * A long job as its caller submitted it. Immutable.
 *
 * @param job the job's identifier
 * @param team the team that owns it
 * @param pool the pool that it runs on
 * @param size what it declares to need
 * @param urgency urgency as in RFC 9218, from 0, the most urgent, to 7
 * @param idempotent whether it may be run again without the platform's word that an earlier task has stopped
 * @param payload what the worker is to run, at most {@link #MAX_PAYLOAD_LENGTH} characters
 */
public record JobSubmission(
        JobIdentifier job,
        TeamName team,
        PoolName pool,
        JobSize size,
        int urgency,
        boolean idempotent,
        String payload) {
    /** Urgency of a job that names none. */
    public static final int DEFAULT_URGENCY = 3;

    /** The least urgent value. */
    public static final int MAX_URGENCY_VALUE = 7;

    /** Longest payload, in characters; larger inputs are named by a reference. */
    public static final int MAX_PAYLOAD_LENGTH = 512;

    /** Checks urgency and length. */
    public JobSubmission {
        if (urgency < 0 || urgency > MAX_URGENCY_VALUE) {
            throw new IllegalArgumentException("The urgency must lie between 0 and " + MAX_URGENCY_VALUE);
        }
        if (payload.length() > MAX_PAYLOAD_LENGTH) {
            throw new IllegalArgumentException("The payload may have at most " + MAX_PAYLOAD_LENGTH
                    + " characters; store larger inputs elsewhere and name them");
        }
    }
}
