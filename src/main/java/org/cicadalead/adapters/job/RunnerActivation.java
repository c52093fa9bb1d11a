package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/**
 * Spreads the runners of several processes over time, so that mostly one appends: the first member acts at once, others
 * only when work has been left undone for a while, and then go on as long as no other does. It saves appends and never
 * decides on safety. For one thread.
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

    /** Tells whether this process should act now. */
    boolean tryActivate(SharedState state, boolean hasWork, long lastActOfOthers, long now) {
        if (!hasWork) {
            hasPendingWork = false;
            return false;
        }
        if (!hasPendingWork) {
            hasPendingWork = true;
            pendingWorkSince = now;
        }
        long quietSince = Math.max(pendingWorkSince, lastActOfOthers);
        boolean due = now - quietSince
                >= TAKEOVER_DELAY_PER_RANK.multipliedBy(rank(state)).toNanos();
        boolean may = due || isActive(lastActOfOthers, now);
        if (may) {
            lastActivityAt = Optional.of(now);
        }
        return may;
    }

    /** Tells whether this process acted a short while ago and no other has since: then it goes on without waiting. */
    boolean isActive(long lastActOfOthers, long now) {
        return lastActivityAt
                .filter(acted -> acted > lastActOfOthers && now - acted < ACTIVE_TIMEOUT.toNanos())
                .isPresent();
    }

    /** Returns the place of this process among the members, 0 for the first or when it is no member. */
    int rank(SharedState state) {
        List<ProcessIdentifier> members = new ArrayList<>(state.members().keySet());
        return Math.min(MAX_RANK, Math.max(0, members.indexOf(self)));
    }
}
