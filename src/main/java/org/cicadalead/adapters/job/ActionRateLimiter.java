package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.job.TaskAction;

/** Keeps the same question from being put to the platform again before it can have been answered. For one thread. */
final class ActionRateLimiter {
    private static final Duration REPEAT_DELAY = Duration.ofSeconds(2);
    private static final int MAX_REMEMBERED_ACTIONS = 20_000;

    private final Map<TaskAction, Long> lastRequestedAt = new HashMap<>();

    /** Tells whether an action is due, and remembers that it is done now. */
    boolean tryAcquire(TaskAction action, long now) {
        Long last = lastRequestedAt.get(action);
        if (last != null && now - last < REPEAT_DELAY.toNanos()) {
            return false;
        }
        if (lastRequestedAt.size() >= MAX_REMEMBERED_ACTIONS) {
            lastRequestedAt.values().removeIf(asked -> now - asked >= REPEAT_DELAY.toNanos());
        }
        lastRequestedAt.put(action, now);
        return true;
    }

    /** Lets a failed action be tried again at the next round. */
    void release(TaskAction action) {
        lastRequestedAt.remove(action);
    }
}
