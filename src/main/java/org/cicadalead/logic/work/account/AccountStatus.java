package org.cicadalead.logic.work.account;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cicadalead.model.work.HostCapacity;

/**
 * What an account has and waits for at one moment. Immutable.
 *
 * @param account name of the account
 * @param running capacity of its runs whose end is not certain
 * @param limit its limit; a dimension that is 0 has none
 * @param unresolved capacity that it may still run at most on hosts that have not replied in this term
 * @param waiting capacity of its tasks without a run
 * @param weight its share
 * @param waitsForLimit whether its limit has kept a task from starting in the last cycle
 */
public record AccountStatus(
        String account,
        HostCapacity running,
        HostCapacity limit,
        HostCapacity unresolved,
        HostCapacity waiting,
        double weight,
        boolean waitsForLimit) {
    /** Name under which the accounts beyond the largest ones are summed. */
    public static final String OTHERS = "(others)";

    /** Returns the accounts with the most running, at most the given number, and the sum of the others. */
    public static List<AccountStatus> limitTo(int number, List<AccountStatus> statuses) {
        if (statuses.size() <= number) {
            return statuses;
        }
        List<AccountStatus> sorted = new ArrayList<>(statuses);
        sorted.sort(Comparator.comparingLong(
                (AccountStatus status) -> -status.running().milliCores()));
        List<AccountStatus> limited = new ArrayList<>(sorted.subList(0, number));
        sorted.subList(number, sorted.size()).stream()
                .reduce(AccountStatus::sum)
                .ifPresent(limited::add);
        return limited;
    }

    private AccountStatus sum(AccountStatus other) {
        return new AccountStatus(
                OTHERS,
                running.plus(other.running),
                HostCapacity.NONE,
                unresolved.plus(other.unresolved),
                waiting.plus(other.waiting),
                weight + other.weight,
                waitsForLimit || other.waitsForLimit);
    }
}
