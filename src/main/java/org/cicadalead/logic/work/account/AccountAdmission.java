package org.cicadalead.logic.work.account;

import java.util.List;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.StepSpecification;

/**
 * Decides whether a job could ever run within the limit of its account. Load pattern: an account hands in gangs wider
 * than its limit, which would wait for ever and be asked for again and again. Agrees with {@link AccountLimits}, by
 * which an account that runs nothing may start what exceeds its limit by one task at most, so that a single task is
 * never too large. Stateless and thread-safe.
 */
public final class AccountAdmission {
    private AccountAdmission() {}

    /**
     * Returns whether every step could run if nothing else of the account ran.
     *
     * @param limit limit of the account; a dimension that is 0 has no limit
     */
    public static boolean canEverRun(HostCapacity limit, List<StepSpecification> steps) {
        return steps.stream().allMatch(step -> canEverRun(limit, step));
    }

    private static boolean canEverRun(HostCapacity limit, StepSpecification step) {
        long tasksTogether = step.gang() ? step.taskCount() : 1;
        HostCapacity task = step.declaredCapacity();
        return fits(task.milliCores(), tasksTogether, limit.milliCores())
                && fits(task.memoryMegabytes(), tasksTogether, limit.memoryMegabytes())
                && fits(task.accelerators(), tasksTogether, limit.accelerators());
    }

    private static boolean fits(long needed, long tasksTogether, long limit) {
        return limit == 0 || needed == 0 || tasksTogether - 1 <= limit / needed;
    }
}
