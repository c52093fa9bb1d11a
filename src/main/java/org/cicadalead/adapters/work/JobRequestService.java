package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.LeaderHead;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Accepts jobs from callers and answers queries about them. A job is accepted once it is in the store, through
 * whichever process can reach the store. A job is rejected only when no attempt to store it can take effect any more.
 * Safe for use by several threads.
 */
public final class JobRequestService {
    /** Maximum number of remembered jobs; covers the retries of their callers at a few hundred jobs per second. */
    private static final int MAX_UNKNOWN_OUTCOMES = 2_000;

    /** Time limit of storing a peer's records: shorter than the peer waits, so that it learns the outcome. */
    private static final Duration PEER_STORE_TIMEOUT = Duration.ofMillis(850);

    /**
     * Maximum time for which a query waits for a new leader: a lost one is replaced after 1.2 s, and the new one reads
     * its data. A caller with 3 s can then still ask another process, which may reach a leader that this one cannot.
     */
    private static final Duration MAX_WAIT_FOR_LEADER = Duration.ofSeconds(2);

    private final MonitoredStore store;
    private final TimerService timers;
    private final RequestTimeLimits timeLimits;
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
    private final AdmissionControl admission;

    /** Creates a service that stores jobs and queries the scheduler of this process or of the leader. */
    public JobRequestService(
            MonitoredStore store,
            TimerService timers,
            RequestTimeLimits timeLimits,
            WorkCodec codec,
            SchedulingService scheduling,
            PeerClient peers,
            LeaderElection election,
            DecisionLog log) {
        this.store = store;
        this.timers = timers;
        this.timeLimits = timeLimits;
        for (Topic topic : JobsFeed.TOPICS) {
            appenders.put(topic, new RecordAppender(store, topic));
        }
        this.jobRecords = new JobRecords(codec);
        this.scheduling = scheduling;
        this.peers = peers;
        this.election = election;
        this.log = log;
        this.admission = new AdmissionControl(timers, this::weighOpenJobs);
    }

    /** Asks the leader for the weight of all open jobs in bytes; empty if it is not known. */
    private CompletableFuture<Optional<Long>> weighOpenJobs() {
        return scheduling
                .askLater(JobsView::weighOpenJobs)
                .thenCompose(own -> own.isPresent()
                        ? CompletableFuture.completedFuture(own)
                        : election.leader()
                                .filter(leader -> !peers.isOwn(leader.address()))
                                .map(leader -> peers.weighOpenJobs(leader.address()))
                                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty())));
    }

    /** Returns the weight of all open jobs in bytes, as far as this process knows. */
    public long estimateOpenJobsBytes() {
        return admission.estimateBytes();
    }

    /**
     * Stores a job. Storing a job whose identifier is known already does not create a second job. A job beyond the
     * budget of memory is refused, unless it is stored already or an earlier attempt to store it may take effect.
     *
     * @param timeout how long the caller waits for a response
     */
    public CompletableFuture<StoreOutcome> submit(WorkSubmission submission, Duration timeout) {
        boolean isAccepted = admission.tryAccept(submission) || jobsWithUnknownOutcome.contains(submission.job());
        return (isAccepted
                        ? store(submission.job(), List.of(jobRecords.encodeSubmission(submission)), timeout)
                        : findStored(submission.job())
                                .thenApply(isStored -> isStored ? StoreOutcome.STORED : StoreOutcome.REFUSED))
                .thenApply(outcome -> {
                    EventKind kind =
                            switch (outcome) {
                                case STORED -> EventKind.JOB_STORED;
                                case REFUSED -> EventKind.JOB_NOT_STORED;
                                case UNCERTAIN -> EventKind.JOB_UNCERTAIN;
                            };
                    log.emit(
                            kind,
                            EventDetail.of("job", submission.job()),
                            EventDetail.of("queue", submission.queue()),
                            EventDetail.of("service", submission.service()),
                            EventDetail.of("tasks", countTasks(submission)),
                            EventDetail.of("withinBudget", isAccepted));
                    return outcome;
                });
    }

    /**
     * Asks the leader once whether it knows a job, so that a repeated submission beyond a limit is not rejected.
     * Returns false also while there is no leader: callers of jobs that cannot be accepted do not wait for one.
     */
    public CompletableFuture<Boolean> findStored(String job) {
        return findStored(job, JobAccess.UNRESTRICTED);
    }

    /** Asks as {@link #findStored(String)} does; returns false also for a job that the access doesn't cover. */
    public CompletableFuture<Boolean> findStored(String job, JobAccess access) {
        return queryPhase(job, access, new LeaderQueryTrace(timers))
                .thenApply(answer -> answer.phase().isPresent());
    }

    private static long countTasks(WorkSubmission submission) {
        return submission.steps().stream().mapToLong(step -> step.taskCount()).sum();
    }

    /** Stores the cancellation of a job; the timeout is how long the caller waits for a response. */
    public CompletableFuture<StoreOutcome> cancel(String job, JobAccess access, Duration timeout) {
        return store(job, List.of(jobRecords.createCancellation(job, access)), timeout)
                .thenApply(outcome -> {
                    log.emit(
                            EventKind.JOB_CANCEL_STORED, EventDetail.of("job", job), EventDetail.of("answer", outcome));
                    return outcome;
                });
    }

    /** Stores records directly, or else through the leader, and remembers jobs of which that is not known. */
    private CompletableFuture<StoreOutcome> store(String job, List<KeyedRecord> records, Duration timeout) {
        return attempt(
                        records,
                        this::appendThroughLeader,
                        jobsWithUnknownOutcome.contains(job),
                        () -> jobsWithUnknownOutcome.add(job))
                .start(timeout)
                .thenApply(outcome -> {
                    if (outcome == StoreOutcome.STORED) {
                        jobsWithUnknownOutcome.remove(job);
                    }
                    return outcome;
                });
    }

    private StoreAttempts attempt(
            List<KeyedRecord> records,
            StoreAttempts.LeaderRoute leaderRoute,
            boolean outcomeUnknown,
            Runnable onUnknownOutcome) {
        return new StoreAttempts(
                store, timers, timeLimits, appenders, leaderRoute, records, outcomeUnknown, onUnknownOutcome);
    }

    private CompletableFuture<AppendOutcome> appendThroughLeader(List<KeyedRecord> records) {
        Optional<String> address = election.leader().map(LeaderHead::address);
        if (address.isEmpty() || peers.isOwn(address.get())) {
            return isKnownToScheduler(records)
                    .thenApply(isKnown -> isKnown ? AppendOutcome.STORED : AppendOutcome.REFUSED);
        }
        return peers.store(address.get(), records);
    }

    /**
     * Stores records on behalf of a peer that cannot reach the store. A job that the scheduler of this process has read
     * is in the store.
     */
    CompletableFuture<AppendOutcome> storeForPeer(List<KeyedRecord> records) {
        return isKnownToScheduler(records)
                .thenCompose(isKnown ->
                        isKnown ? CompletableFuture.completedFuture(AppendOutcome.STORED) : appendForPeer(records));
    }

    private CompletableFuture<AppendOutcome> appendForPeer(List<KeyedRecord> records) {
        return attempt(records, StoreAttempts.LeaderRoute.NONE, false, () -> {})
                .start(PEER_STORE_TIMEOUT)
                .thenApply(outcome -> switch (outcome) {
                    case STORED -> AppendOutcome.STORED;
                    case REFUSED -> AppendOutcome.REFUSED;
                    case UNCERTAIN -> AppendOutcome.UNKNOWN;
                });
    }

    private CompletableFuture<Boolean> isKnownToScheduler(List<KeyedRecord> records) {
        Set<String> submitted = records.stream()
                .flatMap(entry -> JobRecords.submittedJob(entry).stream())
                .collect(Collectors.toSet());
        return submitted.size() < records.size()
                ? CompletableFuture.completedFuture(false)
                : scheduling
                        .askLater(jobs -> submitted.stream().allMatch(jobs::isStored))
                        .thenApply(isKnown -> isKnown.orElse(false));
    }

    /** Returns whether this process can store jobs, directly or through the leader, judging by its latest calls. */
    public boolean canStore() {
        return !store.isUnavailableForJobs()
                || election.leader()
                        .filter(leader -> !peers.isOwn(leader.address()))
                        .filter(leader -> peers.hasRepliedRecently(leader.address()))
                        .isPresent();
    }

    /**
     * Returns the phase of a job, from this process if it is the leader and otherwise from the leader. Waits for a new
     * leader while the leader is replaced. A job that the access doesn't cover is unknown.
     *
     * @param timeout how long the caller waits for a response
     */
    public CompletableFuture<JobAnswer> findPhase(String job, JobAccess access, Duration timeout) {
        LeaderQueryTrace trace = new LeaderQueryTrace(timers);
        return RepeatedQuery.run(
                        timers,
                        timeLimits,
                        () -> queryPhase(job, access, trace),
                        JobAnswer::known,
                        JobAnswer.UNAVAILABLE,
                        limitWaitForLeader(timeout))
                .thenApply(jobAnswer -> {
                    EventDetail answer = EventDetail.of("answer", jobAnswer);
                    log.emit(EventKind.JOB_ASKED, trace.details(jobAnswer.known(), EventDetail.of("job", job), answer));
                    return jobAnswer;
                });
    }

    private CompletableFuture<JobAnswer> queryPhase(String job, JobAccess access, LeaderQueryTrace trace) {
        trace.onAttempt(election.leader());
        return scheduling.askLater(jobs -> jobs.findPhase(job, access)).thenCompose(ownReply -> ownReply.map(
                        CompletableFuture::completedFuture)
                .orElseGet(() -> election.leader()
                        .map(leader -> peers.findPhase(leader.address(), job, access))
                        .orElseGet(() -> CompletableFuture.completedFuture(JobAnswer.UNAVAILABLE))));
    }

    private static Duration limitWaitForLeader(Duration timeout) {
        return timeout.compareTo(MAX_WAIT_FOR_LEADER) < 0 ? timeout : MAX_WAIT_FOR_LEADER;
    }

    /**
     * Returns the number of jobs in a queue of which no task has started; empty if it is not known. Waits for a new
     * leader while the leader is replaced.
     *
     * @param timeout how long the caller waits for a response
     */
    public CompletableFuture<Optional<Integer>> waitingCount(String queue, Duration timeout) {
        LeaderQueryTrace trace = new LeaderQueryTrace(timers);
        return RepeatedQuery.run(
                        timers,
                        timeLimits,
                        () -> queryWaitingCount(queue, trace),
                        Optional::isPresent,
                        Optional.<Integer>empty(),
                        limitWaitForLeader(timeout))
                .thenApply(count -> {
                    log.emit(EventKind.QUEUE_ASKED, trace.details(count.isPresent(), EventDetail.of("queue", queue)));
                    return count;
                });
    }

    private CompletableFuture<Optional<Integer>> queryWaitingCount(String queue, LeaderQueryTrace trace) {
        trace.onAttempt(election.leader());
        return scheduling.askLater(jobs -> jobs.waitingCount(queue)).thenCompose(ownCount -> ownCount.map(
                        CompletableFuture::completedFuture)
                .orElseGet(() -> election.leader()
                        .map(leader -> peers.waitingCount(leader.address(), queue))
                        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()))));
    }

    /** Outcome of storing a job or its cancellation. */
    public enum StoreOutcome {
        /** The records are stored. */
        STORED,
        /** The records are not stored and will not be. */
        REFUSED,
        /** The outcome is unknown: the records may be stored now or later. */
        UNCERTAIN
    }

    /**
     * Result of a query for a job.
     *
     * @param known whether the query could be answered
     * @param phase phase of the job; empty if there is no such job
     */
    public record JobAnswer(boolean known, Optional<WorkPhase> phase) {
        /** The query could not be answered now. */
        public static final JobAnswer UNAVAILABLE = new JobAnswer(false, Optional.empty());

        static JobAnswer of(Optional<WorkPhase> phase) {
            return new JobAnswer(true, phase);
        }
    }
}
