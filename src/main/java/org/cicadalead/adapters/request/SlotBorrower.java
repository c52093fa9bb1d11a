package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cicadalead.adapters.request.SlotMessage.SlotReply;
import org.cicadalead.adapters.request.SlotMessage.SlotRequest;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ServiceName;

/**
 * The slots that this process has borrowed. After {@link SlotTable#LOAN_DURATION}, counted from before the question was
 * sent, no request starts on one; it is given back once nothing is in use above what is left. Safe for use by several
 * threads.
 */
final class SlotBorrower {
    private static final Duration REJECTION_BACKOFF = Duration.ofMillis(50);

    private final SlotChannel peers;
    private final Function<HostName, HostRuntime> runtimes;
    private final AtomicLong nextNumber = new AtomicLong();
    private final Set<Loan> activeLoans = ConcurrentHashMap.newKeySet();
    private final Set<Loan> endingLoans = ConcurrentHashMap.newKeySet();
    private final Queue<PendingReturn> pendingReturns = new ConcurrentLinkedQueue<>();
    private final Map<BorrowKey, Long> nextRequestAt = new ConcurrentHashMap<>();

    SlotBorrower(SlotChannel peers, Function<HostName, HostRuntime> runtimes) {
        this.peers = peers;
        this.runtimes = runtimes;
    }

    /** Asks an owner for slots, unless it was asked a moment ago; calls back when some were lent. */
    void requestSlots(ProcessIdentifier owner, ServiceName service, int count, long now, Runnable onLent) {
        BorrowKey key = new BorrowKey(owner, service);
        long pause = REJECTION_BACKOFF.toNanos();
        boolean[] mayAsk = new boolean[1];
        nextRequestAt.compute(key, (same, until) -> {
            mayAsk[0] = until == null || now - until >= 0;
            return mayAsk[0] ? Long.valueOf(now + pause) : until;
        });
        if (!mayAsk[0]) {
            return;
        }
        long number = nextNumber.incrementAndGet();
        peers.send(owner, SlotRequest.borrow(number, service, count)).whenComplete((answer, failure) -> {
            if (failure != null) {
                onRequestFailed(owner, number, failure);
            } else if (!answer.lent().isEmpty()) {
                addLoans(owner, number, service, answer, now);
                nextRequestAt.remove(key);
                onLent.run();
            }
        });
    }

    /** Ends loans that are over, not needed or revoked, and gives back what can be given back. */
    void returnUnneededLoans(Predicate<Loan> isNeeded, Predicate<ProcessIdentifier> isMember, long now) {
        for (Loan loan : Set.copyOf(activeLoans)) {
            boolean over = now - loan.useUntil() >= 0;
            if ((over || !isNeeded.test(loan) || !isMember.test(loan.owner())) && activeLoans.remove(loan)) {
                runtimes.apply(loan.host()).slots().removeBorrowed();
                endingLoans.add(loan);
            }
        }
        for (Loan loan : Set.copyOf(endingLoans)) {
            if (runtimes.apply(loan.host()).slots().counts().free() >= 0 && endingLoans.remove(loan)) {
                pendingReturns.add(
                        new PendingReturn(loan.owner(), SlotRequest.giveBack(loan.number(), List.of(loan.host()))));
            }
        }
        sendPendingReturns(isMember);
    }

    boolean hasNoLoans() {
        return activeLoans.isEmpty() && endingLoans.isEmpty() && pendingReturns.isEmpty();
    }

    private void addLoans(ProcessIdentifier owner, long number, ServiceName service, SlotReply answer, long askedAt) {
        long useUntil = askedAt + SlotTable.LOAN_DURATION.toNanos();
        int index = 0;
        for (HostName host : answer.lent()) {
            activeLoans.add(new Loan(owner, number, index++, service, host, useUntil));
            runtimes.apply(host).slots().addBorrowed();
        }
    }

    /** When the answer may have been lost, whatever it said is given back. */
    private void onRequestFailed(ProcessIdentifier owner, long number, Throwable failure) {
        Optional<ErrorKind> kind = findErrorKind(failure);
        if (kind.isEmpty() || kind.get() != ErrorKind.NO_UPSTREAM) {
            pendingReturns.add(new PendingReturn(owner, SlotRequest.cancel(number)));
        }
    }

    private void sendPendingReturns(Predicate<ProcessIdentifier> isMember) {
        for (int count = pendingReturns.size(); count > 0; count--) {
            PendingReturn debt = pendingReturns.poll();
            if (debt == null) {
                return;
            }
            if (!isMember.test(debt.owner())) {
                continue;
            }
            peers.send(debt.owner(), debt.request()).whenComplete((answer, failure) -> {
                if (failure != null) {
                    pendingReturns.add(debt);
                }
            });
        }
    }

    private static Optional<ErrorKind> findErrorKind(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (failure instanceof CicadaleadException known) {
            return Optional.of(known.kind());
        }
        return cause instanceof CicadaleadException known ? Optional.of(known.kind()) : Optional.empty();
    }

    /**
     * A slot that was borrowed. Immutable.
     *
     * @param owner whose it is
     * @param number number of the borrowing
     * @param index tells the slots of one borrowing apart
     * @param service the service that it was borrowed for
     * @param host the worker
     * @param useUntil monotonic time after which no request starts on it
     */
    record Loan(ProcessIdentifier owner, long number, int index, ServiceName service, HostName host, long useUntil) {}

    private record PendingReturn(ProcessIdentifier owner, SlotRequest request) {}

    private record BorrowKey(ProcessIdentifier owner, ServiceName service) {}
}
