package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.job.TaskAction;

/**
 * Prevents the same action from being requested from the platform again before it can have taken effect. Not
 * thread-safe.
 */
final class ActionRateLimiter {
    private static final Duration REPEAT_DELAY = Duration.ofSeconds(2);
    private static final int MAX_REMEMBERED_ACTIONS = 20_000;

    private final Map<TaskAction, Long> lastRequestedAt = new HashMap<>();

    /** Returns whether an action may be requested now, and if so records the request. Times are in nanoseconds. */
    boolean tryAcquire(TaskAction action, long nowNanoseconds) {
        Long lastRequest = lastRequestedAt.get(action);
        if (lastRequest != null && nowNanoseconds - lastRequest < REPEAT_DELAY.toNanos()) {
            return false;
        }
        if (lastRequestedAt.size() >= MAX_REMEMBERED_ACTIONS) {
            lastRequestedAt.values().removeIf(requestedAt -> nowNanoseconds - requestedAt >= REPEAT_DELAY.toNanos());
        }
        lastRequestedAt.put(action, nowNanoseconds);
        return true;
    }

    /** Allows a failed action to be retried in the next iteration. */
    void release(TaskAction action) {
        lastRequestedAt.remove(action);
    }
}
