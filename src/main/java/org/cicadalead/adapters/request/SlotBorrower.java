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
 * Manages the slots that this process has borrowed. No request starts on a borrowed slot after
 * {@link SlotTable#LOAN_DURATION}, counted from before the request for the slot was sent. The slot is returned once no
 * more slots of the host are in use than remain without it. Safe for use by several threads.
 */
final class SlotBorrower {
    private static final Duration REJECTION_BACKOFF = Duration.ofMillis(50);

    private final SlotChannel channel;
    private final Function<HostName, HostRuntime> runtimes;
    private final AtomicLong nextRequestNumber = new AtomicLong();
    private final Set<Loan> activeLoans = ConcurrentHashMap.newKeySet();
    private final Set<Loan> endingLoans = ConcurrentHashMap.newKeySet();
    private final Queue<PendingReturn> pendingReturns = new ConcurrentLinkedQueue<>();
    private final Map<BorrowKey, Long> nextRequestAt = new ConcurrentHashMap<>();

    SlotBorrower(SlotChannel channel, Function<HostName, HostRuntime> runtimes) {
        this.channel = channel;
        this.runtimes = runtimes;
    }

    /**
     * Requests slots from an owner, unless a request that obtained none was sent to it less than
     * {@link #REJECTION_BACKOFF} ago. Runs the callback when some were lent.
     */
    void requestSlots(ProcessIdentifier owner, ServiceName service, int count, long now, Runnable onLent) {
        BorrowKey key = new BorrowKey(owner, service);
        long backoff = REJECTION_BACKOFF.toNanos();
        boolean[] isAllowed = new boolean[1];
        nextRequestAt.compute(key, (sameKey, notBefore) -> {
            isAllowed[0] = notBefore == null || now - notBefore >= 0;
            return isAllowed[0] ? Long.valueOf(now + backoff) : notBefore;
        });
        if (!isAllowed[0]) {
            return;
        }
        long number = nextRequestNumber.incrementAndGet();
        channel.send(owner, SlotRequest.borrow(number, service, count)).whenComplete((reply, failure) -> {
            if (failure != null) {
                onRequestFailed(owner, number, failure);
            } else if (!reply.lent().isEmpty()) {
                addLoans(owner, number, service, reply, now);
                nextRequestAt.remove(key);
                onLent.run();
            }
        });
    }

    /**
     * Ends loans that are expired, no longer needed, or owned by a departed process, and returns the slots that are no
     * longer in use.
     */
    void returnUnneededLoans(Predicate<Loan> isNeeded, Predicate<ProcessIdentifier> isMember, long now) {
        for (Loan loan : Set.copyOf(activeLoans)) {
            boolean expired = now - loan.useUntil() >= 0;
            if ((expired || !isNeeded.test(loan) || !isMember.test(loan.owner())) && activeLoans.remove(loan)) {
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

    private void addLoans(
            ProcessIdentifier owner, long number, ServiceName service, SlotReply reply, long requestedAt) {
        long useUntil = requestedAt + SlotTable.LOAN_DURATION.toNanos();
        int index = 0;
        for (HostName host : reply.lent()) {
            activeLoans.add(new Loan(owner, number, index++, service, host, useUntil));
            runtimes.apply(host).slots().addBorrowed();
        }
    }

    /** Cancels the loan when the reply may have been lost, as the owner may have lent slots. */
    private void onRequestFailed(ProcessIdentifier owner, long number, Throwable failure) {
        Optional<ErrorKind> kind = findErrorKind(failure);
        if (kind.isEmpty() || kind.get() != ErrorKind.NO_UPSTREAM) {
            pendingReturns.add(new PendingReturn(owner, SlotRequest.cancel(number)));
        }
    }

    private void sendPendingReturns(Predicate<ProcessIdentifier> isMember) {
        for (int count = pendingReturns.size(); count > 0; count--) {
            PendingReturn pendingReturn = pendingReturns.poll();
            if (pendingReturn == null) {
                return;
            }
            if (!isMember.test(pendingReturn.owner())) {
                continue;
            }
            channel.send(pendingReturn.owner(), pendingReturn.request()).whenComplete((reply, failure) -> {
                if (failure != null) {
                    pendingReturns.add(pendingReturn);
                }
            });
        }
    }

    private static Optional<ErrorKind> findErrorKind(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (failure instanceof CicadaleadException exception) {
            return Optional.of(exception.kind());
        }
        return cause instanceof CicadaleadException exception ? Optional.of(exception.kind()) : Optional.empty();
    }

    /**
     * A borrowed slot. Immutable.
     *
     * @param owner process that owns the slot
     * @param number number of the request for slots
     * @param index distinguishes the slots of one request
     * @param service service for which it was borrowed
     * @param host the worker
     * @param useUntil monotonic time after which no request starts on it
     */
    record Loan(ProcessIdentifier owner, long number, int index, ServiceName service, HostName host, long useUntil) {}

    private record PendingReturn(ProcessIdentifier owner, SlotRequest request) {}

    private record BorrowKey(ProcessIdentifier owner, ServiceName service) {}
}
