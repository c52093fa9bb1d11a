package org.cicadalead.model.configuration;

/**
 * What a service may be without, at any moment, from planned and unplanned causes together. It holds while at least
 * {@code promisedHosts - maximumUnavailable} hosts of the service's pool are available. Immutable.
 *
 * @param promisedHosts hosts that the service was promised
 * @param maximumUnavailable how many of them may be unavailable at once
 * @param cover the largest failure that planned causes must leave room for
 */
public record AvailabilityBudget(int promisedHosts, int maximumUnavailable, FailureCover cover) {
    /** Checks the counts. */
    public AvailabilityBudget {
        if (promisedHosts < 1 || maximumUnavailable < 0 || maximumUnavailable > promisedHosts) {
            throw new IllegalArgumentException("a budget needs promised hosts of at least 1 and"
                    + " maximum unavailable between 0 and the promised hosts");
        }
    }

    /** Returns the least number of available hosts with which the budget holds. */
    public int minimumAvailable() {
        return promisedHosts - maximumUnavailable;
    }
}
