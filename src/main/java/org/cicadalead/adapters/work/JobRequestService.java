package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Takes callers' jobs and answers questions on them. A job is accepted once it is in the store, by whichever process
 * can reach the store; a refusal is given only when no attempt to store it can take effect any more. Safe for use by
 * several threads.
 */
public final class JobRequestService {
    /** Uncertain jobs that are remembered; at a few hundred a second this covers the repeats of their callers. */
    private static final int MAX_UNKNOWN_OUTCOMES = 2_000;

    private final MonitoredStore store;
    private final TimerService timers;
    private final Set<String> jobsWithUnknownOutcome =
            Collections.synchronizedSet(Collections.newSetFromMap(new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_UNKNOWN_OUTCOMES;
                }
            }));
    private final Map<Topic, RecordAppender> appenders = new EnumMap<>(Topic.class);
    private final JobRecords jobRecords;
    private final SchedulingService scheduling;
    private final PeerClient peers;
    private final LeaderElection election;
    private final DecisionLog log;

    /** Creates a desk. */
    public JobRequestService(
            MonitoredStore store,
            TimerService timers,
            WorkCodec codec,
            SchedulingService scheduling,
            PeerClient peers,
            LeaderElection election,
            DecisionLog log) {
        this.store = store;
        this.timers = timers;
        for (Topic topic : JobsFeed.TOPICS) {
            appenders.put(topic, new RecordAppender(store, topic));
        }
        this.jobRecords = new JobRecords(codec);
        this.scheduling = scheduling;
        this.peers = peers;
        this.election = election;
        this.log = log;
    }

    /**
     * Stores a job; an identifier that is known already stays the one job that it is.
     *
     * @param patience how long its caller waits for an answer
     */
    public CompletableFuture<StoreOutcome> submit(WorkSubmission submission, Duration patience) {
        return store(submission.job(), List.of(jobRecords.encodeSubmission(submission)), patience)
                .thenApply(answer -> {
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
                            EventDetail.of("tasks", countTasks(submission)));
                    return answer;
                });
    }

    private static int countTasks(WorkSubmission submission) {
        return submission.steps().stream().mapToInt(step -> step.taskCount()).sum();
    }

    /** Stores the cancellation of a job. */
    public CompletableFuture<StoreOutcome> cancel(String job, Duration patience) {
        return store(job, List.of(JobRecords.createCancellation(job)), patience).thenApply(answer -> {
            log.emit(EventKind.JOB_CANCEL_STORED, EventDetail.of("job", job), EventDetail.of("answer", answer));
            return answer;
        });
    }

    /**
     * Stores records by this process's own way to the store, or else by the scheduling process's, and answers as soon
     * as both have failed, so that the caller can ask another process in time. While an attempt may still take effect,
     * a refusal would not be true.
     */
    private CompletableFuture<StoreOutcome> store(String job, List<KeyedRecord> batch, Duration patience) {
        StoreAttempts attempts = new StoreAttempts(job, batch, patience);
        attempts.appendToTopics(JobsFeed.TOPICS.iterator());
        return attempts.result;
    }

    /** The attempts to store one request's records. Each begins after the one before has ended. */
    private final class StoreAttempts {
        private final String job;
        private final List<KeyedRecord> batch;
        private final CompletableFuture<StoreOutcome> result = new CompletableFuture<>();
        private volatile boolean outcomeUnknown;

        StoreAttempts(String job, List<KeyedRecord> batch, Duration patience) {
            this.job = job;
            this.batch = batch;
            this.outcomeUnknown = jobsWithUnknownOutcome.contains(job);
            timers.after(patience, this::onTimeout);
        }

        private void onTimeout() {
            if (result.complete(StoreOutcome.UNCERTAIN)) {
                jobsWithUnknownOutcome.add(job);
            }
        }

        /** The same record in two topics is one job, so an attempt without an answer may be repeated in the next. */
        void appendToTopics(Iterator<Topic> topics) {
            while (topics.hasNext()) {
                Topic topic = topics.next();
                if (!store.isUnavailable(topic)) {
                    append(topic, batch).thenAccept(outcome -> {
                        if (!applyOutcome(outcome)) {
                            appendToTopics(topics);
                        }
                    });
                    return;
                }
            }
            appendThroughLeader(batch).thenAccept(outcome -> {
                if (!applyOutcome(outcome)) {
                    result.complete(outcomeUnknown ? StoreOutcome.UNCERTAIN : StoreOutcome.REFUSED);
                }
            });
        }

        private boolean applyOutcome(AppendOutcome outcome) {
            if (outcome == AppendOutcome.STORED) {
                result.complete(StoreOutcome.STORED);
                jobsWithUnknownOutcome.remove(job);
                return true;
            }
            if (outcome == AppendOutcome.UNKNOWN) {
                // Known at once: its caller may ask again, at this process too, before the attempts end.
                outcomeUnknown = true;
                jobsWithUnknownOutcome.add(job);
            }
            return false;
        }
    }

    private CompletableFuture<AppendOutcome> appendThroughLeader(List<KeyedRecord> batch) {
        return election.leader()
                .filter(leader -> !peers.isOwn(leader.address()))
                .map(leader -> peers.store(leader.address(), batch))
                .orElseGet(() -> CompletableFuture.completedFuture(AppendOutcome.REFUSED));
    }

    private CompletableFuture<AppendOutcome> append(Topic topic, List<KeyedRecord> batch) {
        return Objects.requireNonNull(appenders.get(topic), "a topic of jobs").append(batch);
    }

    /** Appends records for another process that cannot reach the store. */
    CompletableFuture<AppendOutcome> storeForPeer(List<KeyedRecord> batch) {
        return append(store.isUnavailable(Topic.JOBS) ? Topic.SPARE_JOBS : Topic.JOBS, batch);
    }

    /** Tells whether jobs can be stored from here, as far as the last attempts show. */
    public boolean canStore() {
        return !store.isUnavailableForJobs()
                || election.leader()
                        .filter(leader -> !peers.isOwn(leader.address()))
                        .filter(leader -> peers.hasRepliedRecently(leader.address()))
                        .isPresent();
    }

    /** Returns how far a job is. */
    public CompletableFuture<JobAnswer> phaseOf(String job) {
        Optional<JobAnswer> own = scheduling.ask(jobs -> jobs.phaseOf(job));
        CompletableFuture<JobAnswer> answer = own.isPresent()
                ? CompletableFuture.completedFuture(own.get())
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
        Optional<Optional<Integer>> own = scheduling.ask(jobs -> jobs.waitingCount(queue));
        if (own.isPresent()) {
            return CompletableFuture.completedFuture(own.get());
        }
        return election.leader()
                .map(leader -> peers.waitingCount(leader.address(), queue))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    /** What became of storing something. */
    public enum StoreOutcome {
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
