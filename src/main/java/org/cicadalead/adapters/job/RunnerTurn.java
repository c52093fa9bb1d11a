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
final class RunnerTurn {
    private static final Duration STAGGER = Duration.ofSeconds(2);
    private static final Duration INCUMBENCY = Duration.ofSeconds(10);
    private static final int HIGHEST_RANK = 2;

    private final ProcessIdentifier self;
    private Optional<Long> actedAt = Optional.empty();
    private boolean workLeft;
    private long workSince;

    RunnerTurn(ProcessIdentifier self) {
        this.self = self;
    }

    /** Tells whether this process should act now. */
    boolean mayAct(SharedState state, boolean hasWork, long lastActOfOthers, long now) {
        if (!hasWork) {
            workLeft = false;
            return false;
        }
        if (!workLeft) {
            workLeft = true;
            workSince = now;
        }
        long quietSince = Math.max(workSince, lastActOfOthers);
        boolean due = now - quietSince >= STAGGER.multipliedBy(rank(state)).toNanos();
        boolean may = due || isIncumbent(lastActOfOthers, now);
        if (may) {
            actedAt = Optional.of(now);
        }
        return may;
    }

    /** Tells whether this process acted a short while ago and no other has since: then it goes on without waiting. */
    boolean isIncumbent(long lastActOfOthers, long now) {
        return actedAt.filter(acted -> acted > lastActOfOthers && now - acted < INCUMBENCY.toNanos())
                .isPresent();
    }

    /** Returns the place of this process among the members, 0 for the first or when it is no member. */
    int rank(SharedState state) {
        List<ProcessIdentifier> members = new ArrayList<>(state.members().keySet());
        return Math.min(HIGHEST_RANK, Math.max(0, members.indexOf(self)));
    }
}
