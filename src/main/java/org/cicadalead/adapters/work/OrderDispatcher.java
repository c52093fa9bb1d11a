package org.cicadalead.adapters.work;

import java.util.List;
import java.util.OptionalLong;
import org.cicadalead.logic.work.WorkOrder;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/** Carries out the scheduler's orders and passes their outcomes back to it. Used on the scheduling thread. */
final class OrderDispatcher {
    private final SchedulingTerm term;
    private final SchedulingPorts ports;
    private final WorkScheduler scheduler;
    private final JobRecords records;
    private final SubmissionKeys submissionKeys;
    private final long epoch;
    private final TermAppender progressAppender;
    private final List<RecordAppender> jobAppenders;

    OrderDispatcher(
            SchedulingTerm term,
            SchedulingPorts ports,
            WorkScheduler scheduler,
            JobRecords records,
            SubmissionKeys submissionKeys,
            TermAppender progressAppender,
            long epoch) {
        this.term = term;
        this.ports = ports;
        this.scheduler = scheduler;
        this.records = records;
        this.submissionKeys = submissionKeys;
        this.epoch = epoch;
        this.progressAppender = progressAppender;
        this.jobAppenders = JobsFeed.TOPICS.stream()
                .map(topic -> new RecordAppender(ports.store(), topic))
                .toList();
    }

    void execute(WorkOrder order) {
        if (order instanceof WorkOrder.Start start) {
            start(start);
        } else if (order instanceof WorkOrder.Stop stop) {
            stop(stop);
        } else if (order instanceof WorkOrder.Pace pace) {
            pace(pace);
        } else if (order instanceof WorkOrder.AskAdvisor question) {
            askAdvisor(question);
        } else if (order instanceof WorkOrder.Persist persist) {
            persist(persist);
        } else if (order instanceof WorkOrder.RemoveJobs removal) {
            progressAppender.appendToAllTopics(removal.jobs().stream()
                    .map(JobRecords::createProgressDeletion)
                    .toList());
            List<KeyedRecord> deletions = removal.jobs().stream()
                    .flatMap(job -> submissionKeys.createDeletions(job).stream())
                    .toList();
            jobAppenders.forEach(appender -> appender.append(deletions));
        } else if (order instanceof WorkOrder.StepDown) {
            ports.onSuperseded().run();
        }
    }

    private HostOrders.Target targetOf(WorkOrder.HostTarget target) {
        return new HostOrders.Target(target.host(), target.address(), epoch);
    }

    private void start(WorkOrder.Start start) {
        String host = start.target().host();
        ports.log()
                .emit(
                        EventKind.RUN_ORDERED,
                        EventDetail.of("task", start.run().task()),
                        EventDetail.of("attempt", start.run().attempt()),
                        EventDetail.of("host", host),
                        EventDetail.of("after", start.previousEnd().orElse("")));
        long sentAt = term.now().monotonic();
        ports.hosts()
                .start(new HostOrders.StartOrder(
                        targetOf(start.target()),
                        start.run(),
                        start.payload(),
                        start.deadline(),
                        start.checkpoint(),
                        start.ticket()))
                .thenAccept(reply -> term.enqueue(() -> {
                    StartOutcome outcome = reply.outcome();
                    if (outcome != StartOutcome.STARTED) {
                        ports.log()
                                .emit(
                                        EventKind.RUN_REFUSED,
                                        EventDetail.of("task", start.run().task()),
                                        EventDetail.of("attempt", start.run().attempt()),
                                        EventDetail.of("host", host),
                                        EventDetail.of("outcome", outcome));
                    }
                    onClock(host, reply.clockMilliseconds(), sentAt);
                    scheduler.onStartReply(host, start.run(), outcome, term.now());
                    term.pollAgainIfDue(host);
                }));
    }

    private void stop(WorkOrder.Stop stop) {
        String host = stop.target().host();
        ports.log()
                .emit(
                        EventKind.RUN_STOP_ORDERED,
                        EventDetail.of("task", stop.run().task()),
                        EventDetail.of("attempt", stop.run().attempt()),
                        EventDetail.of("host", host),
                        EventDetail.of("cause", stop.cause()));
        ports.log().countStop(stop.cause());
        long sentAt = term.now().monotonic();
        ports.hosts()
                .stop(targetOf(stop.target()), stop.run())
                .thenAccept(reply -> term.enqueue(() -> {
                    onClock(host, reply.clockMilliseconds(), sentAt);
                    switch (reply.outcome()) {
                        case CONFIRMED -> scheduler.onStopConfirmed(host, stop.run(), term.now());
                        case FENCED -> scheduler.onFenced();
                        case OTHER_HOST ->
                            scheduler.onHostReplaced(host, stop.target().address(), sentAt);
                        default -> {
                            // The scheduler repeats the order.
                        }
                    }
                }));
    }

    private void pace(WorkOrder.Pace pace) {
        ports.log()
                .emit(
                        EventKind.RUN_PACED,
                        EventDetail.of("task", pace.run().task()),
                        EventDetail.of("host", pace.target().host()),
                        EventDetail.of("percentage", pace.percentage()));
        long sentAt = term.now().monotonic();
        ports.hosts()
                .pace(targetOf(pace.target()), pace.run(), pace.percentage())
                .thenAccept(
                        reply -> term.enqueue(() -> onClock(pace.target().host(), reply.clockMilliseconds(), sentAt)));
    }

    private void onClock(String host, OptionalLong clockMilliseconds, long sentAt) {
        clockMilliseconds.ifPresent(clock -> scheduler.onClockRead(host, clock, sentAt, term.now()));
    }

    private void askAdvisor(WorkOrder.AskAdvisor question) {
        long askedAtMilliseconds = term.now().monotonic();
        ports.advisor()
                .ask(question.stepText(), question.hosts())
                .thenAccept(advice -> term.enqueue(() -> {
                    ports.log()
                            .emit(
                                    EventKind.ADVICE_TAKEN,
                                    EventDetail.of("step", question.stepText()),
                                    EventDetail.of("asked", question.hosts().size()),
                                    EventDetail.of(
                                            "allowed",
                                            advice.map(tickets -> Integer.toString(tickets.size()))
                                                    .orElse("no answer")));
                    scheduler.onAdvisorReply(question, advice, askedAtMilliseconds, term.now());
                }));
    }

    private void persist(WorkOrder.Persist persist) {
        List<KeyedRecord> batch =
                persist.records().stream().map(records::encodeProgress).toList();
        progressAppender
                .append(batch)
                .thenRun(() -> term.enqueue(() -> {
                    scheduler.onBatchResult(persist.batch(), true);
                    persist.records().stream()
                            .filter(progress -> progress.phase().isTerminal())
                            .forEach(this::logEnd);
                }));
    }

    private void logEnd(WorkProgress progress) {
        ports.log()
                .emit(
                        EventKind.JOB_ENDED,
                        EventDetail.of("job", progress.job()),
                        EventDetail.of("phase", progress.phase()));
    }
}
