package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cicadalead.logic.work.CyclePacing;
import org.cicadalead.logic.work.EarlierHosts;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.GivenUpTask;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.LostRun;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.SubmissionOrder;
import org.cicadalead.logic.work.WorkOrder;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.WaveProgress;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;

/**
 * One term of this process as the leader: reads the jobs and the registry, polls every host, and carries out the
 * scheduler's decisions. All methods except {@link #ask} are called on the scheduling thread, as are all callbacks.
 */
final class SchedulingTerm {
    /** Topics that store progress; a job may have a record in each, of which the highest version is valid. */
    private static final List<Topic> PROGRESS_TOPICS = List.of(Topic.PROGRESS, Topic.SPARE_PROGRESS);

    /**
     * Interval between reads of the registry; a draining host must get no work two seconds after its record changed.
     */
    private static final Duration REGISTRY_READ_INTERVAL = Duration.ofMillis(250);

    /** Maximum time between two scheduling cycles, for decisions that depend only on time. */
    private static final long MAX_CYCLE_INTERVAL_MILLISECONDS = 100;

    /** Age of the last read of jobs from which on an unknown job may be a new one. */
    private static final long MAX_JOBS_AGE_MILLISECONDS = 2_000;

    /** Delay before a failed read is retried. */
    private static final long RETRY_DELAY_MILLISECONDS = 150;

    private final SchedulingPorts ports;
    private final ScheduledExecutorService executor;
    private final SchedulingTerms terms;
    private final long epoch;
    private final Optional<EarlierTerm> earlierTerm;
    private final Consumer<HostsInUse> hostsInUseListener;
    private final JobRecords jobRecords;
    private final SubmissionKeys submissionKeys = new SubmissionKeys();
    private final TermAppender progressAppender;
    private final JobsFeed jobsFeed;
    private final TopicFollower registryFollower;
    private final Map<String, HostEntry> hostEntries = new HashMap<>();
    private final Map<String, HostPoller> pollers = new HashMap<>();
    private final CyclePacing pacing = new CyclePacing();
    private Optional<List<KeyedRecord>> loadedJobs = Optional.empty();
    private Optional<List<KeyedRecord>> loadedProgress = Optional.empty();
    private boolean registryLoaded;
    private Optional<WorkScheduler> scheduler = Optional.empty();
    private Optional<OrderDispatcher> dispatcher = Optional.empty();
    private Optional<MachineController> machineController = Optional.empty();
    private Optional<ScheduledFuture<?>> cycleTimer = Optional.empty();
    private Optional<TakeoverReport> takeoverReport = Optional.empty();
    private Optional<WaitingTaskReport> waitingTaskReport = Optional.empty();
    private Optional<LoadingReport> loadingReport = Optional.empty();
    private volatile boolean fenced;
    private long startedAt;
    private boolean cycleScheduled;
    private final AccountReport accountReport;
    private final UnreadableRecords unreadableRecords;
    private OptionalLong planVersion = OptionalLong.empty();
    private volatile boolean closed;

    SchedulingTerm(
            SchedulingPorts ports,
            ScheduledExecutorService executor,
            SchedulingTerms terms,
            long epoch,
            Optional<EarlierTerm> earlierTerm,
            Consumer<HostsInUse> hostsInUseListener) {
        this.ports = ports;
        this.executor = executor;
        this.terms = terms;
        this.epoch = epoch;
        this.earlierTerm = earlierTerm;
        this.hostsInUseListener = hostsInUseListener;
        this.jobRecords = new JobRecords(ports.codec());
        this.accountReport = new AccountReport(ports.log());
        this.unreadableRecords = new UnreadableRecords(ports.log());
        this.progressAppender =
                new TermAppender(ports.store(), PROGRESS_TOPICS, ports.timers(), epoch, ports.onSuperseded());
        this.jobsFeed = new JobsFeed(ports.store(), ports.timers(), ports.log(), new JobsListener());
        this.registryFollower = new TopicFollower(
                ports.store(),
                Topic.HOSTS,
                ports.timers(),
                ports.log(),
                Duration.ZERO,
                REGISTRY_READ_INTERVAL,
                new RegistryListener());
    }

    /** Fences earlier terms, then starts to read jobs, progress and the registry. */
    void start() {
        startedAt = now().monotonic();
        loadingReport = Optional.of(new LoadingReport(ports.log(), epoch, startedAt));
        // Jobs that are read after the fence include every job of which an earlier term can have stored progress.
        progressAppender.fence().thenRun(() -> {
            fenced = true;
            jobsFeed.start();
            readProgress();
        });
        registryFollower.start();
        cycleTimer = Optional.of(executor.scheduleWithFixedDelay(
                () -> scheduleCycle(0),
                MAX_CYCLE_INTERVAL_MILLISECONDS,
                MAX_CYCLE_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS));
    }

    /**
     * Reads the progress of all jobs. Only the leader writes progress, so one read at the start of a term is enough,
     * once earlier terms are fenced.
     */
    private void readProgress() {
        List<CompletableFuture<Snapshot>> reads = PROGRESS_TOPICS.stream()
                .map(topic -> Calls.attempt(() -> ports.store().snapshot(topic)).exceptionally(failure -> {
                    logReadFailure(failure);
                    return new Snapshot(false, List.of(), 0);
                }))
                .toList();
        CompletableFuture.allOf(reads.toArray(CompletableFuture<?>[]::new))
                .thenRun(() -> enqueue(() -> {
                    List<Snapshot> snapshots =
                            reads.stream().map(CompletableFuture::join).toList();
                    if (snapshots.stream().allMatch(Snapshot::complete)) {
                        loadedProgress = Optional.of(snapshots.stream()
                                .flatMap(snapshot -> snapshot.records().stream())
                                .toList());
                        startWhenLoaded();
                    } else {
                        executor.schedule(
                                () -> enqueue(this::readProgress), RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
                    }
                }));
    }

    /** Ends the term and returns the hosts that may still have runs. */
    HostsInUse resign() {
        HostsInUse hostsInUse = scheduler
                .map(loadedScheduler ->
                        loadedScheduler.announceHostsInUse(now()).afterResignation())
                .orElse(HostsInUse.NONE);
        close();
        return hostsInUse;
    }

    /** Returns whether the term has loaded its data and started to give orders. */
    boolean isScheduling() {
        return scheduler.isPresent();
    }

    /** Handles that an announcement of the hosts in use is stored. */
    void onAnnouncementStored(long generation) {
        scheduler.ifPresent(loadedScheduler -> {
            loadedScheduler.onAnnouncementStored(generation);
            scheduleCycle(0);
        });
    }

    /** Ends the term: stops all reads, appends and cycles. */
    void close() {
        closed = true;
        cycleTimer.ifPresent(timer -> timer.cancel(false));
        jobsFeed.close();
        progressAppender.close();
        machineController.ifPresent(MachineController::close);
        registryFollower.close();
        accountReport.close();
    }

    /** Queries the scheduler; empty until the term has loaded its data. */
    <T> Optional<T> ask(Function<JobsView, T> question) {
        long ageMilliseconds = TimeUnit.NANOSECONDS.toMillis(ports.timers().nanoTime() - jobsFeed.lastReadNanoTime());
        boolean current = ageMilliseconds < MAX_JOBS_AGE_MILLISECONDS;
        return scheduler.map(loadedScheduler -> question.apply(new JobsView(loadedScheduler, current)));
    }

    WorkTime now() {
        return new WorkTime(
                TimeUnit.NANOSECONDS.toMillis(ports.timers().nanoTime()),
                ports.timers().wallClockMilliseconds());
    }

    /** Runs an action on the scheduling thread, unless the term has ended, and then schedules a scheduling cycle. */
    void enqueue(Runnable action) {
        executor.execute(() -> {
            if (!closed) {
                runLoggingFailure(action);
                scheduleCycle(pacing.delayMilliseconds());
            }
        });
    }

    private void scheduleCycle(long delayMilliseconds) {
        if (!cycleScheduled) {
            cycleScheduled = true;
            executor.schedule(() -> runLoggingFailure(this::runCycle), delayMilliseconds, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs an action and logs its failure, as the executor swallows exceptions of its tasks. */
    private void runLoggingFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            ports.log()
                    .emit(
                            EventKind.INTERNAL_FAILURE,
                            EventDetail.of("failure", failure),
                            EventDetail.of("at", trace.length == 0 ? "" : trace[0]));
        }
    }

    private void logReadFailure(Throwable failure) {
        ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("read", failure));
    }

    private void runCycle() {
        cycleScheduled = false;
        if (closed) {
            return;
        }
        if (scheduler.isEmpty()) {
            loadingReport.ifPresent(report -> report.logWait(now(), findMissingData()));
            return;
        }
        long startNanoseconds = ports.timers().nanoTime();
        WorkTime now = now();
        long unconfirmedMilliseconds = unconfirmedMilliseconds();
        boolean canStart = unconfirmedMilliseconds < terms.startLimitMilliseconds();
        if (updatePlan(scheduler.get())) {
            updateHosts(scheduler.get());
        }
        scheduler.get().setAccountsOutdated(!ports.operator().isCurrent());
        List<WorkOrder> orders = scheduler.get().decide(now, unconfirmedMilliseconds);
        dispatcher.ifPresent(
                orderDispatcher -> orders.forEach(order -> runLoggingFailure(() -> orderDispatcher.execute(order))));
        if (pacing.startMachineDecisions(now.monotonic())) {
            machineController.ifPresent(
                    machineController -> machineController.runCycle(now, canStart, unconfirmedMilliseconds));
        }
        takeoverReport.ifPresent(report -> report.logChanges(now));
        scheduler.get().takeLostRuns().forEach(this::logLostRun);
        scheduler.get().takeGivenUpTasks().forEach(this::logGivenUpTask);
        boolean startsWait = scheduler.get().hasPendingStartIntents();
        boolean hostsWait = scheduler.get().hasHostsWaitingForAnnouncement(now);
        if (pacing.startAnnouncement(now.monotonic(), startsWait, hostsWait)) {
            hostsInUseListener.accept(scheduler.get().announceHostsInUse(now));
            if (startsWait || hostsWait) {
                ports.requestHeartbeat().run();
            }
        }
        // Last, so that a fault in the report can hold up neither orders nor announcements.
        waitingTaskReport.ifPresent(report -> report.logChanges(now, canStart, unconfirmedMilliseconds));
        if (accountReport.isDue(now.monotonic())) {
            accountReport.report(scheduler.get().describeAccounts(), now.monotonic());
        }
        pacing.onCycleEnded(ports.timers().nanoTime() - startNanoseconds);
    }

    /**
     * Passes the accounts and services of a newer configuration on; it counts from the next decision on. Returns
     * whether there is one.
     */
    private boolean updatePlan(WorkScheduler target) {
        Optional<FleetPlan> newer =
                ports.operator().plan().filter(plan -> plan.version() > planVersion.orElse(Long.MIN_VALUE));
        newer.ifPresent(plan -> {
            planVersion = OptionalLong.of(plan.version());
            target.updateAccounts(plan.accounts().orElse(ClientAccounts.of(List.of())));
            target.addServices(plan.namedServices());
        });
        return newer.isPresent();
    }

    private void updateHosts(WorkScheduler target) {
        target.updateHosts(List.copyOf(hostEntries.values()), now());
        pollNewHosts();
    }

    private void logGivenUpTask(GivenUpTask givenUp) {
        ports.log()
                .emit(
                        EventKind.TASK_GIVEN_UP,
                        EventDetail.of("task", givenUp.task()),
                        EventDetail.of("losses", givenUp.losses()));
    }

    private void logLostRun(LostRun lost) {
        ports.log()
                .emit(
                        EventKind.RUN_LOST,
                        EventDetail.of("task", lost.run().task()),
                        EventDetail.of("attempt", lost.run().attempt()),
                        EventDetail.of("host", lost.host()),
                        EventDetail.of("evidence", lost.evidence()),
                        EventDetail.of("confirmed", lost.wasConfirmed()),
                        EventDetail.of("starting", lost.wasStarting()),
                        EventDetail.of("orderedMilliseconds", lost.orderedMilliseconds()),
                        EventDetail.of("leaseEndedMilliseconds", lost.leaseEndedMilliseconds()),
                        EventDetail.of("clockReadMilliseconds", lost.clockReadMilliseconds()),
                        EventDetail.of("runsLost", lost.runsLost()),
                        EventDetail.of("startsLost", lost.startsLost()));
    }

    /** Returns what this term has still to read before it can schedule. */
    private Set<LoadingReport.Data> findMissingData() {
        Set<LoadingReport.Data> missing = EnumSet.noneOf(LoadingReport.Data.class);
        if (!fenced) {
            missing.add(LoadingReport.Data.FENCE);
        }
        if (loadedJobs.isEmpty()) {
            missing.add(LoadingReport.Data.JOBS);
        }
        if (loadedProgress.isEmpty()) {
            missing.add(LoadingReport.Data.PROGRESS);
        }
        if (!registryLoaded) {
            missing.add(LoadingReport.Data.REGISTRY);
        }
        return missing;
    }

    /** Starts scheduling once the jobs, their progress and the registry have been read completely. */
    private void startWhenLoaded() {
        if (scheduler.isPresent() || loadedJobs.isEmpty() || loadedProgress.isEmpty() || !registryLoaded) {
            return;
        }
        WorkTime now = now();
        EarlierHosts earlierHosts = earlierTerm
                .map(earlier -> EarlierHosts.from(earlier, hostEntries.values(), terms, now.monotonic()))
                .orElse(EarlierHosts.NONE);
        WorkScheduler newScheduler = new WorkScheduler(terms, epoch, earlierHosts, now.monotonic());
        // Before the jobs, of which it decides which ones accounts are entitled to.
        updatePlan(newScheduler);
        loadJobs(newScheduler, loadedJobs.get(), loadedProgress.get(), now);
        newScheduler.updateHosts(List.copyOf(hostEntries.values()), now);
        scheduler = Optional.of(newScheduler);
        TakeoverReport report = new TakeoverReport(ports.log(), newScheduler, now);
        report.logLoaded(
                epoch,
                startedAt,
                earlierHosts,
                earlierTerm
                        .map(earlier -> earlier.lastRecord().hosts().values())
                        .orElse(List.of()));
        takeoverReport = Optional.of(report);
        waitingTaskReport = Optional.of(new WaitingTaskReport(ports.log(), newScheduler.createWaitingTasks()));
        dispatcher = Optional.of(
                new OrderDispatcher(this, ports, newScheduler, jobRecords, submissionKeys, progressAppender, epoch));
        machineController = Optional.of(new MachineController(
                this, ports, newScheduler, terms, jobRecords, progressAppender, decodeWaveProgress(), epoch));
        loadedJobs = Optional.of(List.of());
        loadedProgress = Optional.of(List.of());
        pollNewHosts();
        scheduleCycle(0);
    }

    private List<WaveProgress> decodeWaveProgress() {
        return loadedProgress.orElse(List.of()).stream()
                .flatMap(entry -> jobRecords.decodeWave(entry).stream())
                .toList();
    }

    /** Loads the submissions before the progress and cancellations that refer to them, regardless of the key order. */
    private void loadJobs(
            WorkScheduler target, List<KeyedRecord> stored, List<KeyedRecord> progressRecords, WorkTime now) {
        List<WorkProgress> progress = selectNewestPerJob(
                progressRecords.stream().flatMap(entry -> jobRecords.decodeProgress(entry).stream()));
        List<WorkSubmission> readable = new ArrayList<>();
        List<KeyedRecord> unreadable = new ArrayList<>();
        for (KeyedRecord entry : stored) {
            submissionKeys.onRead(entry);
            Optional<WorkSubmission> submission = jobRecords.decodeSubmission(entry);
            submission.ifPresentOrElse(readable::add, () -> unreadable.add(entry));
        }
        SubmissionOrder.sort(readable, progress).forEach(submission -> {
            if (target.findPhase(submission.job()).isPresent()) {
                logRepeatedRecord(submission);
            }
            addJob(target, submission, now);
        });
        unreadable.forEach(entry -> setAsideUnreadable(target, entry, now));
        progress.forEach(restored -> apply(target, restored.job(), () -> target.restoreProgress(restored, now), now));
        stored.forEach(entry -> applyCancellation(target, entry, now));
    }

    /** Sets the job aside whose submission cannot be read, unless it has one that can. */
    private void setAsideUnreadable(WorkScheduler target, KeyedRecord entry, WorkTime now) {
        JobRecords.submittedJob(entry)
                .filter(job -> target.setAside(WorkSubmission.createUnreadable(job), now))
                .ifPresent(job -> logSetAside(job, "its record cannot be read"));
    }

    /** Adds a job, or sets it aside with one event, so that no job keeps the others from being added. */
    private void addJob(WorkScheduler target, WorkSubmission submission, WorkTime now) {
        try {
            if (!target.addJob(submission, now)) {
                logSetAside(submission.job(), "it takes more memory than a process has for one job");
            }
        } catch (RuntimeException | StackOverflowError failure) {
            target.setAside(submission.job(), now);
            target.setAside(submission, now);
            logSetAside(submission.job(), failure);
        }
    }

    private void applyCancellation(WorkScheduler target, KeyedRecord entry, WorkTime now) {
        jobRecords
                .decodeCancellation(entry)
                .ifPresent(cancellation -> apply(
                        target,
                        cancellation.job(),
                        () -> target.cancelJob(cancellation.job(), cancellation.access(), now),
                        now));
    }

    private void apply(WorkScheduler target, String job, Runnable action, WorkTime now) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError failure) {
            target.setAside(job, now);
            logSetAside(job, failure);
        }
    }

    private void logSetAside(String job, Object cause) {
        ports.log().emit(EventKind.JOB_SET_ASIDE, EventDetail.of("job", job), EventDetail.of("cause", cause));
    }

    /** Returns the record with the highest version of each job. */
    static List<WorkProgress> selectNewestPerJob(Stream<WorkProgress> records) {
        Map<String, WorkProgress> newest = new LinkedHashMap<>();
        records.forEach(progress -> newest.merge(
                progress.job(), progress, (first, second) -> first.version() >= second.version() ? first : second));
        return List.copyOf(newest.values());
    }

    private void applyNewJobs(List<KeyedRecord> stored) {
        if (scheduler.isEmpty()) {
            List<KeyedRecord> allRecords = new ArrayList<>(loadedJobs.orElse(List.of()));
            allRecords.addAll(stored);
            loadedJobs = Optional.of(allRecords);
            return;
        }
        WorkTime now = now();
        for (KeyedRecord entry : stored) {
            submissionKeys.onRead(entry);
            jobRecords
                    .decodeSubmission(entry)
                    .ifPresentOrElse(
                            submission -> addNewJob(scheduler.get(), submission, entry.offset(), now),
                            () -> setAsideUnreadable(scheduler.get(), entry, now));
            applyCancellation(scheduler.get(), entry, now);
        }
    }

    private void addNewJob(WorkScheduler target, WorkSubmission submission, long offset, WorkTime now) {
        if (target.findPhase(submission.job()).isPresent()) {
            logRepeatedRecord(submission);
        } else {
            ports.log()
                    .emit(
                            EventKind.JOB_LEARNED,
                            EventDetail.of("job", submission.job()),
                            EventDetail.of("queue", submission.queue()),
                            EventDetail.of("service", submission.service()),
                            EventDetail.of("offset", offset));
        }
        addJob(target, submission, now);
    }

    private void logRepeatedRecord(WorkSubmission submission) {
        ports.log()
                .emit(
                        EventKind.JOB_RECORD_REPEATED,
                        EventDetail.of("job", submission.job()),
                        EventDetail.of("queue", submission.queue()),
                        EventDetail.of("service", submission.service()),
                        EventDetail.of("acceptedAt", submission.acceptedMilliseconds()));
    }

    private void applyRegistryRecords(List<KeyedRecord> stored) {
        for (KeyedRecord entry : stored) {
            Optional<HostEntry> host = entry.value().isEmpty()
                    ? Optional.empty()
                    : ports.registry().decodeHost(entry);
            if (host.isPresent()) {
                Optional.ofNullable(hostEntries.put(entry.key(), host.get()))
                        .ifPresent(former -> logIfReplaced(former, host.get()));
            } else {
                hostEntries.remove(entry.key());
            }
            unreadableRecords.onRead(
                    entry.key(), host.isPresent() || entry.value().isEmpty());
        }
        scheduler.ifPresent(this::updateHosts);
    }

    private void logIfReplaced(HostEntry former, HostEntry newer) {
        if (former.bornMilliseconds() != newer.bornMilliseconds()) {
            ports.log()
                    .emit(
                            EventKind.HOST_ENTRY_REPLACED,
                            EventDetail.of("host", newer.identifier()),
                            EventDetail.of("formerStart", former.bornMilliseconds()),
                            EventDetail.of("start", newer.bornMilliseconds()),
                            EventDetail.of("service", newer.service()),
                            EventDetail.of("labels", newer.labels()),
                            EventDetail.of("otherService", !former.service().equals(newer.service())),
                            EventDetail.of("otherLabels", !former.labels().equals(newer.labels())),
                            EventDetail.of("otherCapacity", !former.capacity().equals(newer.capacity())));
        }
    }

    private void pollNewHosts() {
        for (String host : scheduler.get().findHostsToPoll()) {
            if (!pollers.containsKey(host)) {
                HostPoller poller =
                        new HostPoller(this, ports, scheduler.get(), host, epoch, () -> pollers.remove(host));
                pollers.put(host, poller);
                poller.poll();
            }
        }
    }

    /** Polls a host without waiting for the reply to its last poll, if that would renew its lease too late. */
    void pollAgainIfDue(String host) {
        HostPoller poller = pollers.get(host);
        if (poller != null && scheduler.get().isPollDue(host)) {
            poller.poll();
        }
    }

    /**
     * Returns the milliseconds since the last confirmed record of this process as leader was sent. A time on the
     * monotonic clock that it is counted back from must be read before it, so that it is rather too long.
     */
    long unconfirmedMilliseconds() {
        return ports.unconfirmedMilliseconds().getAsLong();
    }

    boolean isClosed() {
        return closed;
    }

    ScheduledExecutorService executor() {
        return executor;
    }

    private final class JobsListener implements JobsFeed.Listener {
        @Override
        public void onLoaded(List<KeyedRecord> stored) {
            enqueue(() -> {
                loadedJobs = Optional.of(stored);
                startWhenLoaded();
            });
        }

        @Override
        public void onRecords(List<KeyedRecord> stored) {
            enqueue(() -> applyNewJobs(stored));
        }
    }

    private final class RegistryListener implements TopicFollower.Listener {
        @Override
        public void onSnapshot(List<KeyedRecord> stored) {
            enqueue(() -> {
                hostEntries.clear();
                registryLoaded = true;
                applyRegistryRecords(stored);
                startWhenLoaded();
            });
        }

        @Override
        public void onRecords(List<KeyedRecord> stored) {
            enqueue(() -> applyRegistryRecords(stored));
        }
    }
}
