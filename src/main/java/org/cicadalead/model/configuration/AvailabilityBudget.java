package org.cicadalead.model.configuration;

/**
 * The number of hosts that a service may lack at any moment, for planned and unplanned reasons together. The budget is
 * met while at least {@code promisedHosts - maximumUnavailable} hosts of the service's pool are available. Immutable.
 *
 * @param promisedHosts number of hosts promised to the service
 * @param maximumUnavailable maximum number of promised hosts that may be unavailable at the same time
 * @param cover the largest failure for which planned work must leave enough hosts available
 */
public record AvailabilityBudget(int promisedHosts, int maximumUnavailable, FailureCover cover) {
    /** Validates the counts. */
    public AvailabilityBudget {
        if (promisedHosts < 1 || maximumUnavailable < 0 || maximumUnavailable > promisedHosts) {
            throw new IllegalArgumentException("a budget needs promised hosts of at least 1 and"
                    + " maximum unavailable between 0 and the promised hosts");
        }
    }

    /** Returns the minimum number of available hosts with which the budget is met. */
    public int minimumAvailable() {
        return promisedHosts - maximumUnavailable;
    }
}
