package org.cicadalead.logic.work.account;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Divides the room of a service by weight among the accounts that want it. Load patterns: accounts of skewed size on a
 * full service, and one account with many times its usual load. Entries of lower classes come first; within a class,
 * the account that has received least by its weight is next, as in the fair queue of requests. What an account does not
 * want the others get, and a loan comes back as its runs end. Within an account and class the given order is kept. Used
 * for one service in one cycle; not thread-safe.
 *
 * @param <T> type of the items
 */
public final class AccountOrder<T> {
    private static final Comparator<WaitingAccount<?>> LEAST_RECEIVED_FIRST = Comparator.comparingDouble(
                    (WaitingAccount<?> waiting) -> waiting.received)
            .thenComparingLong(waiting -> waiting.headAcceptedMilliseconds)
            .thenComparing(waiting -> waiting.account);

    private final TreeMap<Integer, TreeSet<WaitingAccount<T>>> classes = new TreeMap<>();
    private final ToDoubleFunction<String> receivedByWeight;
    private @Nullable WaitingAccount<T> served;
    private int servedClass;

    /**
     * Creates the order.
     *
     * @param entries the waiting items, sorted within each account
     * @param receivedByWeight returns the cores that an account has in the service at this moment, with those that were
     *     just assigned, divided by its weight
     */
    public AccountOrder(List<Entry<T>> entries, ToDoubleFunction<String> receivedByWeight) {
        this.receivedByWeight = receivedByWeight;
        Map<Integer, Map<String, WaitingAccount<T>>> waiting = new HashMap<>();
        for (Entry<T> entry : entries) {
            waiting.computeIfAbsent(entry.precedence(), key -> new HashMap<>())
                    .computeIfAbsent(entry.account(), WaitingAccount::new)
                    .entries
                    .add(entry);
        }
        waiting.forEach((precedence, accounts) -> {
            TreeSet<WaitingAccount<T>> sorted = new TreeSet<>(LEAST_RECEIVED_FIRST);
            for (WaitingAccount<T> account : accounts.values()) {
                account.update(receivedByWeight);
                sorted.add(account);
            }
            classes.put(precedence, sorted);
        });
    }

    /** Removes and returns the next item, by what the accounts have received until now; empty when none is left. */
    public Optional<T> poll() {
        if (served != null && !served.entries.isEmpty()) {
            served.update(receivedByWeight);
            classes.computeIfAbsent(servedClass, key -> new TreeSet<>(LEAST_RECEIVED_FIRST))
                    .add(served);
        }
        served = null;
        while (!classes.isEmpty() && classes.firstEntry().getValue().isEmpty()) {
            classes.pollFirstEntry();
        }
        if (classes.isEmpty()) {
            return Optional.empty();
        }
        WaitingAccount<T> next = classes.firstEntry().getValue().first();
        servedClass = classes.firstKey();
        classes.firstEntry().getValue().remove(next);
        served = next;
        return Optional.of(next.entries.remove().item());
    }

    /**
     * A waiting item.
     *
     * @param account name of its account
     * @param precedence number of its class; lower ones come first
     * @param acceptedMilliseconds wall clock time of its acceptance, by which accounts that have received the same come
     *     in turn
     */
    public record Entry<T>(T item, String account, int precedence, long acceptedMilliseconds) {}

    private static final class WaitingAccount<T> {
        private final String account;
        private final ArrayDeque<Entry<T>> entries = new ArrayDeque<>();
        private double received;
        private long headAcceptedMilliseconds;

        WaitingAccount(String account) {
            this.account = account;
        }

        /** Must be called only while it is in no sorted set. */
        void update(ToDoubleFunction<String> receivedByWeight) {
            received = receivedByWeight.applyAsDouble(account);
            headAcceptedMilliseconds = entries.element().acceptedMilliseconds();
        }
    }
}
