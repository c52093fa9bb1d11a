package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.HostPollRequest;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.ports.HostOrders;

/** Looks at one host again and again, one look at a time. Used on the scheduling thread. */
final class HostWatch {
    /** Pause after a look that brought ends, for the store to keep them before the next look acknowledges them. */
    private static final long PAUSE_AFTER_ENDS_MILLISECONDS = 40;

    /** Pause after a look without an answer. */
    private static final long PAUSE_AFTER_SILENCE_MILLISECONDS = 200;

    private final SchedulingTerm term;
    private final SchedulingPorts ports;
    private final WorkScheduler scheduler;
    private final String host;
    private final long epoch;
    private final Runnable ended;
    private boolean answering;
    private long logged;
    private long born;

    HostWatch(
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
        this.ended = ended;
    }

    void look() {
        WorkTime now = term.now();
        Optional<HostPollRequest> request = scheduler.createPoll(host, now, term.mayRenew());
        if (request.isEmpty()) {
            ended.run();
            return;
        }
        HostOrders.Target target =
                new HostOrders.Target(host, request.get().target().address(), epoch);
        ports.hosts()
                .look(
                        target,
                        request.get().deadline(),
                        request.get().acknowledged(),
                        Duration.ofMillis(request.get().waitMilliseconds()))
                .thenAccept(answer -> term.enqueue(() -> take(answer, now.monotonic())));
    }

    private void take(HostOrders.Look answer, long sentAt) {
        long pause = 0;
        switch (answer.outcome()) {
            case CONFIRMED -> {
                boolean unacknowledgedEnds = answer.listing()
                        .map(listing -> !listing.ended().isEmpty())
                        .orElse(false);
                answer.listing().ifPresent(this::logEnds);
                answer.listing().ifPresent(listing -> scheduler.onHostListing(host, listing, sentAt, term.now()));
                pause = unacknowledgedEnds ? PAUSE_AFTER_ENDS_MILLISECONDS : 1;
                answers(true);
            }
            case FENCED -> {
                scheduler.onFenced();
                pause = PAUSE_AFTER_SILENCE_MILLISECONDS;
            }
            case OTHER_HOST -> {
                scheduler.onHostReplaced(host);
                pause = PAUSE_AFTER_SILENCE_MILLISECONDS;
            }
            default -> {
                pause = PAUSE_AFTER_SILENCE_MILLISECONDS;
                scheduler.onPollFailed(host);
                answers(false);
            }
        }
        term.executor()
                .schedule(
                        () -> {
                            if (!term.isClosed()) {
                                look();
                            }
                        },
                        pause,
                        TimeUnit.MILLISECONDS);
    }

    private void logEnds(HostListing listing) {
        if (listing.bornMilliseconds() != born) {
            born = listing.bornMilliseconds();
            logged = 0;
        }
        for (EndedRun end : listing.ended()) {
            if (end.number() > logged) {
                logged = end.number();
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

    private void answers(boolean answers) {
        if (answers != answering) {
            answering = answers;
            ports.log().emit(answers ? EventKind.HOST_ANSWERING : EventKind.HOST_SILENT, EventDetail.of("host", host));
        }
    }
}
