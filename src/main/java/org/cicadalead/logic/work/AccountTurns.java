package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.logic.work.account.AccountOrder;
import org.cicadalead.logic.work.account.AccountUsage;

/** Determines in which order accounts and services get room. Stateless and thread-safe. */
final class AccountTurns {
    /** Classes between two ranks, for the jobs beyond what their accounts are entitled to. */
    private static final int CLASSES_PER_RANK = 2;

    /** Rank of the jobs of which no caller has a use any more. */
    private static final int NO_USE_RANK = 3;

    /** Class of the jobs beyond the entitlement: behind all others with a use, ahead of those without. */
    private static final int BEYOND_ENTITLEMENT = NO_USE_RANK * CLASSES_PER_RANK - 1;

    private AccountTurns() {}

    /**
     * Returns the services in the order in which they are placed. They take turns to be first, as an account at its
     * limit would else run in the first one only.
     */
    static List<String> takeTurns(Collection<String> services, long cycle) {
        List<String> sorted = new ArrayList<>(services);
        Collections.sort(sorted);
        if (!sorted.isEmpty()) {
            Collections.rotate(sorted, -(int) (cycle % sorted.size()));
        }
        return sorted;
    }

    /** Returns the order in which the accounts get the room of a service for their jobs, sorted by priority. */
    static AccountOrder<WorkJob> order(WorkState state, String service, List<WorkJob> sortedJobs, WorkTime now) {
        Map<String, AccountUsage> usages = new HashMap<>();
        List<AccountOrder.Entry<WorkJob>> entries = new ArrayList<>();
        for (WorkJob job : sortedJobs) {
            usages.put(job.usage.account(), job.usage);
            entries.add(new AccountOrder.Entry<>(
                    job, job.usage.account(), precedence(job, now), job.submission.acceptedMilliseconds()));
        }
        return new AccountOrder<>(
                entries,
                account -> state.receivedByWeight(usages.getOrDefault(account, AccountUsage.createPublic()), service));
    }

    private static int precedence(WorkJob job, WorkTime now) {
        int rank = WorkOrdering.rank(job, now);
        boolean isBeyond = !job.isEntitled && rank > 0 && rank < NO_USE_RANK;
        return isBeyond ? BEYOND_ENTITLEMENT : rank * CLASSES_PER_RANK;
    }
}
