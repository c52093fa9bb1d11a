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
import org.cicadalead.adapters.request.SlotMessage.Answer;
import org.cicadalead.adapters.request.SlotMessage.Question;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ServiceName;

/**
 * The slots that this process has borrowed. After {@link SlotTable#LOAN_TIME}, counted from before the question was
 * sent, no request starts on one; it is given back once nothing is in use above what is left. Safe for use by several
 * threads.
 */
final class SlotBorrower {
    private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(50);

    private final SlotPeers peers;
    private final Function<HostName, HostRuntime> runtimes;
    private final AtomicLong nextNumber = new AtomicLong();
    private final Set<Loan> held = ConcurrentHashMap.newKeySet();
    private final Set<Loan> ending = ConcurrentHashMap.newKeySet();
    private final Queue<Debt> debts = new ConcurrentLinkedQueue<>();
    private final Map<AskKey, Long> notBefore = new ConcurrentHashMap<>();

    SlotBorrower(SlotPeers peers, Function<HostName, HostRuntime> runtimes) {
        this.peers = peers;
        this.runtimes = runtimes;
    }

    /** Asks an owner for slots, unless it was asked a moment ago; calls back when some were lent. */
    void ask(ProcessIdentifier owner, ServiceName service, int count, long now, Runnable onLent) {
        AskKey key = new AskKey(owner, service);
        long pause = PAUSE_AFTER_REFUSAL.toNanos();
        boolean[] mayAsk = new boolean[1];
        notBefore.compute(key, (same, until) -> {
            mayAsk[0] = until == null || now - until >= 0;
            return mayAsk[0] ? Long.valueOf(now + pause) : until;
        });
        if (!mayAsk[0]) {
            return;
        }
        long number = nextNumber.incrementAndGet();
        peers.ask(owner, Question.borrow(number, service, count)).whenComplete((answer, failure) -> {
            if (failure != null) {
                onLost(owner, number, failure);
            } else if (!answer.lent().isEmpty()) {
                accept(owner, number, service, answer, now);
                notBefore.remove(key);
                onLent.run();
            }
        });
    }

    /** Ends loans that are over, not needed or revoked, and gives back what can be given back. */
    void settle(Predicate<Loan> isNeeded, Predicate<ProcessIdentifier> isMember, long now) {
        for (Loan loan : Set.copyOf(held)) {
            boolean over = now - loan.useUntil() >= 0;
            if ((over || !isNeeded.test(loan) || !isMember.test(loan.owner())) && held.remove(loan)) {
                runtimes.apply(loan.host()).slots().endBorrow();
                ending.add(loan);
            }
        }
        for (Loan loan : Set.copyOf(ending)) {
            if (runtimes.apply(loan.host()).slots().counts().free() >= 0 && ending.remove(loan)) {
                debts.add(new Debt(loan.owner(), Question.giveBack(loan.number(), List.of(loan.host()))));
            }
        }
        pay(isMember);
    }

    boolean isEmpty() {
        return held.isEmpty() && ending.isEmpty() && debts.isEmpty();
    }

    private void accept(ProcessIdentifier owner, long number, ServiceName service, Answer answer, long askedAt) {
        long useUntil = askedAt + SlotTable.LOAN_TIME.toNanos();
        int index = 0;
        for (HostName host : answer.lent()) {
            held.add(new Loan(owner, number, index++, service, host, useUntil));
            runtimes.apply(host).slots().borrow();
        }
    }

    /** When the answer may have been lost, whatever it said is given back. */
    private void onLost(ProcessIdentifier owner, long number, Throwable failure) {
        Optional<ErrorKind> kind = kindOf(failure);
        if (kind.isEmpty() || kind.get() != ErrorKind.NO_UPSTREAM) {
            debts.add(new Debt(owner, Question.cancel(number)));
        }
    }

    private void pay(Predicate<ProcessIdentifier> isMember) {
        for (int count = debts.size(); count > 0; count--) {
            Debt debt = debts.poll();
            if (debt == null) {
                return;
            }
            if (!isMember.test(debt.owner())) {
                continue;
            }
            peers.ask(debt.owner(), debt.question()).whenComplete((answer, failure) -> {
                if (failure != null) {
                    debts.add(debt);
                }
            });
        }
    }

    private static Optional<ErrorKind> kindOf(Throwable failure) {
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

    private record Debt(ProcessIdentifier owner, Question question) {}

    private record AskKey(ProcessIdentifier owner, ServiceName service) {}
}
