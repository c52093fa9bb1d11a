package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.HostPollRequest;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.ports.HostOrders;

/**
 * Polls one host repeatedly. Several polls may be in flight; a result that the reply to a later poll has overtaken is
 * not applied, and only the newest poll's result plans the next one. Used on the scheduling thread.
 */
final class HostPoller {
    /** Delay after a poll that reported ended runs, so that they are stored before the next poll acknowledges them. */
    private static final long DELAY_AFTER_ENDED_RUNS_MILLISECONDS = 40;

    /** Delay after a single poll that got no reply: the host gets no work until it replies, and most replies come. */
    private static final long DELAY_AFTER_FIRST_FAILURE_MILLISECONDS = 10;

    /** Delay after further polls that got no reply, or after one that was rejected. */
    private static final long DELAY_AFTER_FAILURE_MILLISECONDS = 200;

    private final SchedulingTerm term;
    private final SchedulingPorts ports;
    private final WorkScheduler scheduler;
    private final String host;
    private final long epoch;
    private final Runnable onEnded;
    private Optional<ScheduledFuture<?>> plannedPoll = Optional.empty();
    private long newestPoll;

    /** Number of the newest poll that some process has replied to. */
    private long newestReply;

    private boolean ended;
    private boolean reachable;
    private long lastLoggedEnd;
    private long hostStartMilliseconds;

    HostPoller(
            SchedulingTerm term,
            SchedulingPorts ports,
            WorkScheduler scheduler,
            String host,
            long epoch,
            Runnable onEnded) {
        this.term = term;
        this.ports = ports;
        this.scheduler = scheduler;
        this.host = host;
        this.epoch = epoch;
        this.onEnded = onEnded;
    }

    /**
     * Sends one poll. Its result plans the next one, also after a failure, as a host that is not polled any more gets
     * no work until the term ends. Ends when the scheduler no longer polls the host.
     */
    void poll() {
        plannedPoll.ifPresent(planned -> planned.cancel(false));
        if (ended || term.isClosed()) {
            return;
        }
        WorkTime now = term.now();
        Optional<HostPollRequest> request = scheduler.createPoll(host, now, term.unconfirmedMilliseconds());
        if (request.isEmpty()) {
            ended = true;
            onEnded.run();
            return;
        }
        HostOrders.Target target =
                new HostOrders.Target(host, request.get().target().address(), epoch);
        SentPoll sent = new SentPoll(++newestPoll, target.address(), now.monotonic());
        request.get().repeatAfterMilliseconds().ifPresent(this::planPoll);
        Calls.attempt(() -> ports.hosts()
                        .poll(
                                target,
                                request.get().deadline(),
                                request.get().acknowledged(),
                                Duration.ofMillis(request.get().waitMilliseconds())))
                .exceptionally(this::toFailedPoll)
                .thenAccept(result -> term.enqueue(() -> onPollResult(sent, result)));
    }

    private void planPoll(long delayMilliseconds) {
        plannedPoll.ifPresent(planned -> planned.cancel(false));
        plannedPoll = Optional.of(term.executor().schedule(this::poll, delayMilliseconds, TimeUnit.MILLISECONDS));
    }

    private HostOrders.PollResult toFailedPoll(Throwable failure) {
        ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("host", host), EventDetail.of("failure", failure));
        return new HostOrders.PollResult(HostOrders.OrderOutcome.UNKNOWN, Optional.empty());
    }

    private void onPollResult(SentPoll sent, HostOrders.PollResult result) {
        scheduler.onPollEnded(host, sent.sentAt());
        if (sent.number() < newestReply) {
            return;
        }
        long delay = DELAY_AFTER_FAILURE_MILLISECONDS;
        try {
            delay = applyPollResult(sent, result);
        } finally {
            if (sent.number() == newestPoll && !ended) {
                planPoll(delay);
            }
        }
    }

    /** Applies the result of a poll, and returns the delay of the next one in milliseconds. */
    private long applyPollResult(SentPoll sent, HostOrders.PollResult result) {
        switch (result.outcome()) {
            case CONFIRMED -> {
                newestReply = sent.number();
                boolean hasEndedRuns = result.listing()
                        .map(listing -> !listing.ended().isEmpty())
                        .orElse(false);
                result.listing().ifPresent(this::logEndedRuns);
                result.listing()
                        .ifPresent(listing ->
                                scheduler.onHostListing(host, sent.address(), listing, sent.sentAt(), term.now()));
                updateReachability(true);
                return hasEndedRuns ? DELAY_AFTER_ENDED_RUNS_MILLISECONDS : 1;
            }
            case FENCED -> scheduler.onFenced();
            case OTHER_HOST -> {
                newestReply = sent.number();
                scheduler.onHostReplaced(host, sent.address(), sent.sentAt());
            }
            default -> {
                boolean isFirstFailure = reachable;
                scheduler.onPollFailed(host);
                updateReachability(false);
                return isFirstFailure ? DELAY_AFTER_FIRST_FAILURE_MILLISECONDS : DELAY_AFTER_FAILURE_MILLISECONDS;
            }
        }
        return DELAY_AFTER_FAILURE_MILLISECONDS;
    }

    private void logEndedRuns(HostListing listing) {
        if (listing.bornMilliseconds() != hostStartMilliseconds) {
            if (hostStartMilliseconds != 0) {
                ports.log()
                        .emit(
                                EventKind.HOST_RESTARTED,
                                EventDetail.of("host", host),
                                EventDetail.of("formerStart", hostStartMilliseconds),
                                EventDetail.of("start", listing.bornMilliseconds()),
                                EventDetail.of("active", listing.active().size()));
            }
            hostStartMilliseconds = listing.bornMilliseconds();
            lastLoggedEnd = 0;
        }
        for (EndedRun endedRun : listing.ended()) {
            if (endedRun.number() > lastLoggedEnd) {
                lastLoggedEnd = endedRun.number();
                ports.log()
                        .emit(
                                EventKind.RUN_ENDED,
                                EventDetail.of("task", endedRun.run().task()),
                                EventDetail.of("attempt", endedRun.run().attempt()),
                                EventDetail.of("host", host),
                                EventDetail.of("ending", endedRun.ending()),
                                EventDetail.of("end", endedRun.number()));
            }
        }
    }

    private void updateReachability(boolean answered) {
        if (answered != reachable) {
            reachable = answered;
            ports.log().emit(answered ? EventKind.HOST_ANSWERING : EventKind.HOST_SILENT, EventDetail.of("host", host));
        }
    }

    /**
     * A poll that was sent.
     *
     * @param number number of the poll, from 1 on
     * @param address address that it was sent to
     * @param sentAt monotonic time in milliseconds
     */
    private record SentPoll(long number, String address, long sentAt) {}
}
