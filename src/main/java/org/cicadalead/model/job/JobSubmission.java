package org.cicadalead.model.job;

import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;

/**
 * A long job as its caller submitted it. Immutable.
 *
 * @param job identifier of the job
 * @param team team that owns the job
 * @param pool pool on whose hosts the job runs
 * @param size declared size of the job
 * @param urgency urgency as in RFC 9218, from 0, the most urgent, to 7
 * @param idempotent whether the job may be run again before the platform confirms that an earlier task has stopped
 * @param payload work for the worker to run, at most {@link #MAX_PAYLOAD_LENGTH} characters
 */
public record JobSubmission(
        JobIdentifier job,
        TeamName team,
        PoolName pool,
        JobSize size,
        int urgency,
        boolean idempotent,
        String payload) {
    /** Urgency of a job whose submission names none. */
    public static final int DEFAULT_URGENCY = 3;

    /** Largest urgency value, which is the least urgent. */
    public static final int MAX_URGENCY_VALUE = 7;

    /** Maximum length of a payload in characters; larger inputs are passed by reference. */
    public static final int MAX_PAYLOAD_LENGTH = 512;

    /** Checks the urgency and the length of the payload. */
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
