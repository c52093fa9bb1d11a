package org.cicadalead.adapters.work;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;

/**
 * Takes callers' jobs and answers questions on them. A job is accepted once it is in the store, by whichever process
 * can reach the store; a refusal is given only when no attempt to store it can take effect any more. Safe for use by
 * several threads.
 */
public final class JobDesk {
    private final RecordAppender appender;
    private final JobRecords records;
    private final SchedulingService scheduling;
    private final PeerClient peers;
    private final LeaderElection election;
    private final DecisionLog log;

    /** Creates a desk. */
    public JobDesk(
            RecordStore store,
            WorkCodec codec,
            SchedulingService scheduling,
            PeerClient peers,
            LeaderElection election,
            DecisionLog log) {
        this.appender = new RecordAppender(store, Topic.JOBS);
        this.records = new JobRecords(codec);
        this.scheduling = scheduling;
        this.peers = peers;
        this.election = election;
        this.log = log;
    }

    /** Stores a job; an identifier that is known already stays the one job that it is. */
    public CompletableFuture<StoreAnswer> submit(WorkSubmission submission) {
        return store(List.of(records.submission(submission))).thenApply(answer -> {
            EventKind kind =
                    switch (answer) {
                        case STORED -> EventKind.JOB_STORED;
                        case REFUSED -> EventKind.JOB_NOT_STORED;
                        case UNCERTAIN -> EventKind.JOB_UNCERTAIN;
                    };
            log.emit(
                    kind,
                    EventDetail.of("job", submission.job()),
                    EventDetail.of("queue", submission.queue()),
                    EventDetail.of("service", submission.service()),
                    EventDetail.of("tasks", taskCount(submission)));
            return answer;
        });
    }

    private static int taskCount(WorkSubmission submission) {
        return submission.steps().stream().mapToInt(step -> step.taskCount()).sum();
    }

    /** Stores the cancellation of a job. */
    public CompletableFuture<StoreAnswer> cancel(String job) {
        return store(List.of(JobRecords.cancellation(job))).thenApply(answer -> {
            log.emit(EventKind.JOB_CANCEL_STORED, EventDetail.of("job", job), EventDetail.of("answer", answer));
            return answer;
        });
    }

    /** Stores records by this process's own way to the store, or else by the scheduling process's. */
    private CompletableFuture<StoreAnswer> store(List<KeyedRecord> batch) {
        return appender.append(batch).thenCompose(first -> {
            if (first == AppendOutcome.STORED) {
                return CompletableFuture.completedFuture(StoreAnswer.STORED);
            }
            boolean uncertain = first == AppendOutcome.UNKNOWN;
            return otherWay(batch).thenApply(second -> {
                if (second == AppendOutcome.STORED) {
                    return StoreAnswer.STORED;
                }
                return uncertain || second == AppendOutcome.UNKNOWN ? StoreAnswer.UNCERTAIN : StoreAnswer.REFUSED;
            });
        });
    }

    private CompletableFuture<AppendOutcome> otherWay(List<KeyedRecord> batch) {
        return election.leader()
                .filter(leader -> !peers.isOwn(leader.address()))
                .map(leader -> peers.store(leader.address(), batch))
                .orElseGet(() -> CompletableFuture.completedFuture(AppendOutcome.REFUSED));
    }

    /** Appends records for another process that cannot reach the store. */
    CompletableFuture<AppendOutcome> storeForPeer(List<KeyedRecord> batch) {
        return appender.append(batch);
    }

    /** Returns how far a job is. */
    public CompletableFuture<JobAnswer> phaseOf(String job) {
        Optional<Optional<WorkPhase>> own = scheduling.ask(scheduler -> scheduler.phaseOf(job));
        CompletableFuture<JobAnswer> answer = own.isPresent()
                ? CompletableFuture.completedFuture(JobAnswer.of(own.get()))
                : election.leader()
                        .map(leader -> peers.phaseOf(leader.address(), job))
                        .orElseGet(() -> CompletableFuture.completedFuture(JobAnswer.UNAVAILABLE));
        return answer.thenApply(found -> {
            log.emit(EventKind.JOB_ASKED, EventDetail.of("job", job), EventDetail.of("answer", found));
            return found;
        });
    }

    /** Counts the jobs of a queue of which nothing has started; empty when that is not known. */
    public CompletableFuture<Optional<Integer>> waitingCount(String queue) {
        Optional<Integer> own = scheduling.ask(scheduler -> scheduler.waitingCount(queue));
        if (own.isPresent()) {
            return CompletableFuture.completedFuture(own);
        }
        return election.leader()
                .map(leader -> peers.waitingCount(leader.address(), queue))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    /** What became of storing something. */
    public enum StoreAnswer {
        /** It is stored. */
        STORED,
        /** It is not stored and will not be. */
        REFUSED,
        /** It may be stored now or later. */
        UNCERTAIN
    }

    /**
     * What is known of a job.
     *
     * @param known whether anything could be learned
     * @param phase how far the job is; empty where there is no such job
     */
    public record JobAnswer(boolean known, Optional<WorkPhase> phase) {
        /** Nothing could be learned now. */
        public static final JobAnswer UNAVAILABLE = new JobAnswer(false, Optional.empty());

        static JobAnswer of(Optional<WorkPhase> phase) {
            return new JobAnswer(true, phase);
        }
    }
}
