package org.cicadalead.logic.work.account;

import org.cicadalead.model.work.HostCapacity;

/**
 * What the tasks of an account that have no run would take. Immutable.
 *
 * @param total capacity of all of them together
 * @param largestTask the largest capacity of one task in each dimension
 */
public record AccountDemand(HostCapacity total, HostCapacity largestTask) {
    /** No task waits. */
    public static final AccountDemand NONE = new AccountDemand(HostCapacity.NONE, HostCapacity.NONE);

    /** Returns the demand of both. */
    public AccountDemand plus(AccountDemand other) {
        return new AccountDemand(total.plus(other.total), largestTask.highest(other.largestTask));
    }

    /** Returns the demand with some more equal tasks. */
    public AccountDemand plus(HostCapacity task, int tasks) {
        return tasks == 0 ? this : new AccountDemand(total.plus(task.times(tasks)), largestTask.highest(task));
    }
}
