package org.cicadalead.adapters.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;

/**
 * Manages the slots that this process has lent. A loan ends when its borrower returns it, or when the borrower has left
 * the membership and its requests must have ended, but never by time alone. Safe for use by several threads.
 */
final class SlotLoans {
    private static final int MAX_CANCELLED_LOANS = 10_000;

    private final Function<HostName, HostRuntime> runtimes;
    private final Map<LoanKey, List<HostName>> loans = new HashMap<>();
    private final Set<LoanKey> cancelled = new HashSet<>();
    private final Map<ProcessIdentifier, Long> departedAt = new HashMap<>();

    SlotLoans(Function<HostName, HostRuntime> runtimes) {
        this.runtimes = runtimes;
    }

    /**
     * Lends free slots of the given hosts, starting with the host that has the most, and keeps one free slot of the
     * service for this process.
     */
    synchronized List<HostName> lend(
            ProcessIdentifier borrower, long number, List<HostRoute> hosts, int count, long now) {
        LoanKey key = new LoanKey(borrower, number);
        if (cancelled.remove(key) || loans.containsKey(key)) {
            return List.of();
        }
        List<HostName> lent = new ArrayList<>();
        int free = hosts.stream()
                .mapToInt(host -> countLendableSlots(host.runtime(), now))
                .sum();
        while (lent.size() < Math.min(count, free - 1) && lendOne(hosts, lent, now)) {
            // Each iteration lends one slot.
        }
        if (!lent.isEmpty()) {
            loans.put(key, new ArrayList<>(lent));
        }
        return lent;
    }

    /** Takes back slots. A slot that was already returned has no effect. Returns whether any slot was taken back. */
    synchronized boolean takeBack(ProcessIdentifier borrower, long number, List<HostName> hosts) {
        LoanKey key = new LoanKey(borrower, number);
        List<HostName> lent = loans.getOrDefault(key, List.of());
        boolean anyTakenBack = false;
        for (HostName host : hosts) {
            if (lent.remove(host)) {
                runtimes.apply(host).slots().reclaimLent();
                anyTakenBack = true;
            }
        }
        loans.remove(key, List.of());
        return anyTakenBack;
    }

    /** Takes back a complete loan whose reply was lost, or prevents it if the request for it has not arrived yet. */
    synchronized boolean cancel(ProcessIdentifier borrower, long number) {
        LoanKey key = new LoanKey(borrower, number);
        List<HostName> lent = loans.get(key);
        if (lent != null) {
            return takeBack(borrower, number, List.copyOf(lent));
        }
        if (cancelled.size() < MAX_CANCELLED_LOANS) {
            cancelled.add(key);
        }
        return false;
    }

    /** Takes back the slots of borrowers that left the membership longer ago than the quarantine. */
    synchronized void reclaimFromDeparted(Predicate<ProcessIdentifier> isMember, long quarantineNanoseconds, long now) {
        for (LoanKey key : List.copyOf(loans.keySet())) {
            if (isMember.test(key.borrower())) {
                departedAt.remove(key.borrower());
                continue;
            }
            long since = departedAt.computeIfAbsent(key.borrower(), absent -> now);
            if (now - since >= quarantineNanoseconds) {
                cancel(key.borrower(), key.number());
            }
        }
        cancelled.removeIf(key -> !isMember.test(key.borrower()));
    }

    synchronized boolean hasNoLoans() {
        return loans.isEmpty();
    }

    private static boolean lendOne(List<HostRoute> hosts, List<HostName> lent, long now) {
        HostRuntime hostWithMostSlots = null;
        int maxSlots = 0;
        for (HostRoute host : hosts) {
            int free = countLendableSlots(host.runtime(), now);
            if (free > maxSlots) {
                hostWithMostSlots = host.runtime();
                maxSlots = free;
            }
        }
        if (hostWithMostSlots == null || !hostWithMostSlots.slots().tryLend()) {
            return false;
        }
        lent.add(hostWithMostSlots.name());
        return true;
    }

    /** Returns the number of slots that may be lent. Slots of an ejected host and borrowed slots are not lent. */
    private static int countLendableSlots(HostRuntime runtime, long now) {
        var counts = runtime.slots().counts();
        int usable = Math.min(counts.free(), runtime.usableSlots(now) - counts.used());
        return Math.max(0, Math.min(usable, counts.owned() - counts.lent()));
    }

    private record LoanKey(ProcessIdentifier borrower, long number) {}
}
