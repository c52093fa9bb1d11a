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
 * The slots that this process has lent. A loan ends when its borrower says so, or when the borrower has left and its
 * requests must have ended; never by time alone. Safe for use by several threads.
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

    /** Lends free slots of some hosts, the freest first, and keeps one of the service's for this process. */
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
            // Each turn lends one slot.
        }
        if (!lent.isEmpty()) {
            loans.put(key, new ArrayList<>(lent));
        }
        return lent;
    }

    /** Takes slots back. A slot that was given back before changes nothing. */
    synchronized boolean takeBack(ProcessIdentifier borrower, long number, List<HostName> hosts) {
        LoanKey key = new LoanKey(borrower, number);
        List<HostName> lent = loans.getOrDefault(key, List.of());
        boolean any = false;
        for (HostName host : hosts) {
            if (lent.remove(host)) {
                runtimes.apply(host).slots().reclaimLent();
                any = true;
            }
        }
        loans.remove(key, List.of());
        return any;
    }

    /** Takes back a whole loan whose answer was lost, or forbids it if its question is still on its way. */
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

    /** Takes back what processes hold that left longer than the quarantine ago. */
    synchronized void reclaimFromDeparted(Predicate<ProcessIdentifier> isMember, long quarantineNanoseconds, long now) {
        for (LoanKey key : List.copyOf(loans.keySet())) {
            if (isMember.test(key.borrower())) {
                departedAt.remove(key.borrower());
                continue;
            }
            long since = departedAt.computeIfAbsent(key.borrower(), unseen -> now);
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
        HostRuntime freest = null;
        int most = 0;
        for (HostRoute host : hosts) {
            int free = countLendableSlots(host.runtime(), now);
            if (free > most) {
                freest = host.runtime();
                most = free;
            }
        }
        if (freest == null || !freest.slots().tryLend()) {
            return false;
        }
        lent.add(freest.name());
        return true;
    }

    /** Slots of an ejected host are not lent, and borrowed ones are not passed on. */
    private static int countLendableSlots(HostRuntime runtime, long now) {
        var counts = runtime.slots().counts();
        int usable = Math.min(counts.free(), runtime.usableSlots(now) - counts.used());
        return Math.max(0, Math.min(usable, counts.owned() - counts.lent()));
    }

    private record LoanKey(ProcessIdentifier borrower, long number) {}
}
