package org.cicadalead.logic.work.account;

import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.work.HostCapacity;

/**
 * Capacity that the runs of one account take on all hosts together, counted at each run that is ordered, and at each
 * whose end is certain. So a cycle needs no scan of the runs. Not thread-safe.
 */
public final class AccountUsage {
    private final String account;
    /** Running and reserved capacity by service. */
    private final Map<String, HostCapacity> byService = new HashMap<>();

    private final Map<String, HostCapacity> reservedByService = new HashMap<>();
    private HostCapacity running = HostCapacity.NONE;
    private HostCapacity reserved = HostCapacity.NONE;
    private int runs;
    private boolean waitsForLimit;

    AccountUsage(String account) {
        this.account = account;
    }

    /** Creates the usage of jobs of public queues. */
    public static AccountUsage createPublic() {
        return new AccountUsage("");
    }

    /** Returns the name of the account; empty for the jobs of public queues. */
    public String account() {
        return account;
    }

    /** Returns whether it counts the jobs of public queues, which have no account. */
    public boolean isPublic() {
        return account.isEmpty();
    }

    /** Counts a run that takes capacity from now on. */
    public void add(String service, HostCapacity capacity) {
        byService.merge(service, capacity, HostCapacity::plus);
        running = running.plus(capacity);
        runs++;
    }

    /** Removes a run that takes no capacity any more. */
    public void remove(String service, HostCapacity capacity) {
        byService.merge(service, capacity, HostCapacity::minus);
        running = running.minus(capacity);
        runs--;
    }

    /** Keeps room in this cycle for a task that has a host and cannot be ordered yet. */
    public void reserve(String service, HostCapacity capacity) {
        reservedByService.merge(service, capacity, HostCapacity::plus);
        reserved = reserved.plus(capacity);
    }

    void onRejected() {
        waitsForLimit = true;
    }

    /** Returns whether the limit has kept a task from starting in this cycle. */
    boolean waitsForLimit() {
        return waitsForLimit;
    }

    void beginCycle() {
        waitsForLimit = false;
        reserved = HostCapacity.NONE;
        reservedByService.clear();
    }

    /** Returns the capacity that it has in a service, with what was just assigned. */
    public HostCapacity takenIn(String service) {
        return byService
                .getOrDefault(service, HostCapacity.NONE)
                .plus(reservedByService.getOrDefault(service, HostCapacity.NONE));
    }

    /** Returns the capacity of all runs whose end is not certain. */
    public HostCapacity running() {
        return running;
    }

    /** Returns the capacity of the runs and of the tasks for which this cycle keeps room. */
    HostCapacity runningAndReserved() {
        return running.plus(reserved);
    }

    /** Returns the number of runs whose end is not certain. */
    public int runs() {
        return runs;
    }
}
