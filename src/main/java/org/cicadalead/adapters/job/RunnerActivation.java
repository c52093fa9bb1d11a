package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/**
 * Decides which of several processes' runners is active, so that usually only one appends. The first member acts at
 * once; others take over only when work has been pending for some time, and then stay active until another process
 * acts. This only saves appends; safety does not depend on it. Not thread-safe.
 */
final class RunnerActivation {
    private static final Duration TAKEOVER_DELAY_PER_RANK = Duration.ofSeconds(2);
    private static final Duration ACTIVE_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_RANK = 2;

    private final ProcessIdentifier self;
    private Optional<Long> lastActivityAt = Optional.empty();
    private boolean hasPendingWork;
    private long pendingWorkSince;

    RunnerActivation(ProcessIdentifier self) {
        this.self = self;
    }

    /** Returns whether this process should act now, and if so records the activity. Times are in nanoseconds. */
    boolean tryActivate(SharedState state, boolean hasWork, long lastActivityOfOthers, long now) {
        if (!hasWork) {
            hasPendingWork = false;
            return false;
        }
        if (!hasPendingWork) {
            hasPendingWork = true;
            pendingWorkSince = now;
        }
        long idleSince = Math.max(pendingWorkSince, lastActivityOfOthers);
        boolean isTakeoverDue = now - idleSince
                >= TAKEOVER_DELAY_PER_RANK.multipliedBy(rank(state)).toNanos();
        boolean mayAct = isTakeoverDue || isActive(lastActivityOfOthers, now);
        if (mayAct) {
            lastActivityAt = Optional.of(now);
        }
        return mayAct;
    }

    /**
     * Returns whether this process has acted recently and no other process has acted since; it then acts without delay.
     */
    boolean isActive(long lastActivityOfOthers, long now) {
        return lastActivityAt
                .filter(lastActivity ->
                        lastActivity > lastActivityOfOthers && now - lastActivity < ACTIVE_TIMEOUT.toNanos())
                .isPresent();
    }

    /**
     * Returns the position of this process among the members, limited to 2; 0 for the first member or if it is not a
     * member.
     */
    int rank(SharedState state) {
        List<ProcessIdentifier> members = new ArrayList<>(state.members().keySet());
        return Math.min(MAX_RANK, Math.max(0, members.indexOf(self)));
    }
}
