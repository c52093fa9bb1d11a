package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.LookRequest;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.ports.HostOrders;

/** Looks at one host again and again, one look at a time. Used on the scheduling thread. */
final class HostPoller {
    /** Pause after a look that brought ends, for the store to keep them before the next look acknowledges them. */
    private static final long DELAY_AFTER_ENDED_RUNS_MILLISECONDS = 40;

    /** Pause after a look without an answer. */
    private static final long DELAY_AFTER_FAILURE_MILLISECONDS = 200;

    private final SchedulingTerm term;
    private final SchedulingPorts ports;
    private final WorkScheduler scheduler;
    private final String host;
    private final long epoch;
    private final Runnable onEnded;
    private boolean reachable;
    private long lastLoggedEnd;
    private long hostStartMilliseconds;

    HostPoller(
            SchedulingTerm term,
            SchedulingPorts ports,
            WorkScheduler scheduler,
            String host,
            long epoch,
            Runnable ended) {
        this.term = term;
        this.ports = ports;
        this.scheduler = scheduler;
        this.host = host;
        this.epoch = epoch;
        this.onEnded = ended;
    }

    void poll() {
        WorkTime now = term.now();
        Optional<LookRequest> request = scheduler.look(host, now, term.canRenewLeases());
        if (request.isEmpty()) {
            onEnded.run();
            return;
        }
        HostOrders.Target target =
                new HostOrders.Target(host, request.get().target().address(), epoch);
        ports.hosts()
                .poll(
                        target,
                        request.get().deadline(),
                        request.get().acknowledged(),
                        Duration.ofMillis(request.get().waitMilliseconds()))
                .thenAccept(answer -> term.enqueue(() -> onPollResult(answer, now.monotonic())));
    }

    private void onPollResult(HostOrders.PollResult answer, long sentAt) {
        long pause = 0;
        switch (answer.outcome()) {
            case CONFIRMED -> {
                boolean unacknowledgedEnds = answer.listing()
                        .map(listing -> !listing.ended().isEmpty())
                        .orElse(false);
                answer.listing().ifPresent(this::logEndedRuns);
                answer.listing().ifPresent(listing -> scheduler.listed(host, listing, sentAt, term.now()));
                pause = unacknowledgedEnds ? DELAY_AFTER_ENDED_RUNS_MILLISECONDS : 1;
                updateReachability(true);
            }
            case FENCED -> {
                scheduler.fenced();
                pause = DELAY_AFTER_FAILURE_MILLISECONDS;
            }
            case OTHER_HOST -> {
                scheduler.replaced(host);
                pause = DELAY_AFTER_FAILURE_MILLISECONDS;
            }
            default -> {
                pause = DELAY_AFTER_FAILURE_MILLISECONDS;
                scheduler.unanswered(host);
                updateReachability(false);
            }
        }
        term.executor()
                .schedule(
                        () -> {
                            if (!term.isClosed()) {
                                poll();
                            }
                        },
                        pause,
                        TimeUnit.MILLISECONDS);
    }

    private void logEndedRuns(HostListing listing) {
        if (listing.bornMilliseconds() != hostStartMilliseconds) {
            hostStartMilliseconds = listing.bornMilliseconds();
            lastLoggedEnd = 0;
        }
        for (EndedRun end : listing.ended()) {
            if (end.number() > lastLoggedEnd) {
                lastLoggedEnd = end.number();
                ports.log()
                        .emit(
                                EventKind.RUN_ENDED,
                                EventDetail.of("task", end.run().task()),
                                EventDetail.of("attempt", end.run().attempt()),
                                EventDetail.of("host", host),
                                EventDetail.of("ending", end.ending()),
                                EventDetail.of("end", end.number()));
            }
        }
    }

    private void updateReachability(boolean answers) {
        if (answers != reachable) {
            reachable = answers;
            ports.log().emit(answers ? EventKind.HOST_ANSWERING : EventKind.HOST_SILENT, EventDetail.of("host", host));
        }
    }
}
