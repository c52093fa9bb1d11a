package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cicadalead.logic.work.EarlierHosts;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.WorkOrder;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.WaveProgress;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;

/**
 * One term of this process as the one that schedules: reads the jobs and the registry, keeps looking at every host, and
 * carries out what the scheduler decides. All methods but {@link #ask} are called on the scheduling thread, as are all
 * answers.
 */
final class SchedulingTerm {
    /** Where progress is stored; a job's record may be in each, and the highest version counts. */
    private static final List<Topic> PROGRESS_TOPICS = List.of(Topic.PROGRESS, Topic.SPARE_PROGRESS);

    /** Reads of the registry; a host that drains must get no work two seconds later. */
    private static final Duration REGISTRY_READ_INTERVAL = Duration.ofMillis(250);

    /** Longest time between two rounds of decisions, for what is due by time alone. */
    private static final long MAX_CYCLE_INTERVAL_MILLISECONDS = 100;

    /** Age of the last reading of jobs from which on a job that is not known may be a new one. */
    private static final long MAX_JOBS_AGE_MILLISECONDS = 2_000;

    /** Pause before a reading that failed is repeated. */
    private static final long RETRY_DELAY_MILLISECONDS = 150;

    /** Events that arrive within this time are decided on together. */
    private static final long BATCH_DELAY_MILLISECONDS = 4;

    private final SchedulingPorts ports;
    private final ScheduledExecutorService executor;
    private final SchedulingTerms terms;
    private final long epoch;
    private final Optional<LeaderRecord> previousLeader;
    private final Consumer<HostsInUse> hostsInUseListener;
    private final JobRecords jobRecords;
    private final TermAppender progressAppender;
    private final JobsFeed jobsFeed;
    private final TopicFollower registryFollower;
    private final Map<String, HostEntry> hostEntries = new HashMap<>();
    private final Set<String> polledHosts = new HashSet<>();
    private Optional<List<KeyedRecord>> loadedJobs = Optional.empty();
    private Optional<List<KeyedRecord>> loadedProgress = Optional.empty();
    private boolean registryLoaded;
    private Optional<WorkScheduler> scheduler = Optional.empty();
    private Optional<OrderDispatcher> dispatcher = Optional.empty();
    private Optional<MachineController> machines = Optional.empty();
    private Optional<ScheduledFuture<?>> cycleTimer = Optional.empty();
    private boolean cycleScheduled;
    private volatile boolean closed;

    SchedulingTerm(
            SchedulingPorts ports,
            ScheduledExecutorService executor,
            SchedulingTerms terms,
            long epoch,
            Optional<LeaderRecord> before,
            Consumer<HostsInUse> hostsInUseListener) {
        this.ports = ports;
        this.executor = executor;
        this.terms = terms;
        this.epoch = epoch;
        this.previousLeader = before;
        this.hostsInUseListener = hostsInUseListener;
        this.jobRecords = new JobRecords(ports.codec());
        this.progressAppender =
                new TermAppender(ports.store(), PROGRESS_TOPICS, ports.timers(), epoch, ports.onSuperseded());
        this.jobsFeed = new JobsFeed(ports.store(), ports.timers(), new JobsListener());
        this.registryFollower = new TopicFollower(
                ports.store(),
                Topic.HOSTS,
                ports.timers(),
                Duration.ZERO,
                REGISTRY_READ_INTERVAL,
                new RegistryListener());
    }

    void start() {
        // Read after the fence, the jobs include every one of which an earlier term can have kept progress.
        progressAppender.fence().thenRun(() -> {
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
     * Only the scheduling process writes progress, so one reading at the beginning of a term is enough, once nothing of
     * an earlier term can be written any more.
     */
    private void readProgress() {
        List<CompletableFuture<Snapshot>> reading =
                PROGRESS_TOPICS.stream().map(ports.store()::snapshot).toList();
        CompletableFuture.allOf(reading.toArray(CompletableFuture<?>[]::new))
                .thenRun(() -> enqueue(() -> {
                    List<Snapshot> read =
                            reading.stream().map(CompletableFuture::join).toList();
                    if (read.stream().allMatch(Snapshot::complete)) {
                        loadedProgress = Optional.of(read.stream()
                                .flatMap(snapshot -> snapshot.records().stream())
                                .toList());
                        startWhenLoaded();
                    } else {
                        executor.schedule(
                                () -> enqueue(this::readProgress), RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
                    }
                }));
    }

    /** Ends the term, and returns the hosts that may go on running something. */
    HostsInUse resign() {
        HostsInUse used = scheduler.map(present -> present.hostsInUse(now())).orElse(HostsInUse.NONE);
        close();
        return used;
    }

    /** Tells whether the term has begun to give orders. */
    boolean isScheduling() {
        return scheduler.isPresent();
    }

    /** A statement on the hosts in use is in the store. */
    void onAnnouncementStored(long generation) {
        scheduler.ifPresent(present -> {
            present.published(generation);
            scheduleCycle(0);
        });
    }

    void close() {
        closed = true;
        cycleTimer.ifPresent(timer -> timer.cancel(false));
        jobsFeed.close();
        progressAppender.close();
        machines.ifPresent(MachineController::close);
        registryFollower.close();
    }

    <T> Optional<T> ask(Function<JobsView, T> question) {
        long age = TimeUnit.NANOSECONDS.toMillis(ports.timers().nanoTime() - jobsFeed.lastReadNanoTime());
        boolean current = age < MAX_JOBS_AGE_MILLISECONDS;
        return scheduler.map(present -> question.apply(new JobsView(present, current)));
    }

    WorkTime now() {
        return new WorkTime(
                TimeUnit.NANOSECONDS.toMillis(ports.timers().nanoTime()),
                ports.timers().wallClockMilliseconds());
    }

    /** Runs something on the scheduling thread, unless the term is over; then decides anew. */
    void enqueue(Runnable action) {
        executor.execute(() -> {
            if (!closed) {
                runLoggingFailure(action);
                scheduleCycle(BATCH_DELAY_MILLISECONDS);
            }
        });
    }

    private void scheduleCycle(long delay) {
        if (!cycleScheduled) {
            cycleScheduled = true;
            executor.schedule(() -> runLoggingFailure(this::runCycle), delay, TimeUnit.MILLISECONDS);
        }
    }

    /** The executor keeps what its tasks throw to itself. */
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

    private void runCycle() {
        cycleScheduled = false;
        if (closed || scheduler.isEmpty()) {
            return;
        }
        WorkTime now = now();
        boolean mayStart = canStartRuns();
        List<WorkOrder> orders = scheduler.get().decide(now, mayStart);
        dispatcher.ifPresent(orderDispatch -> orders.forEach(orderDispatch::execute));
        machines.ifPresent(machineControl -> machineControl.runCycle(now, mayStart));
        boolean waitsForStatement = scheduler.get().needsStatement();
        hostsInUseListener.accept(scheduler.get().hostsInUse(now));
        if (waitsForStatement) {
            ports.requestHeartbeat().run();
        }
    }

    /** Begins to decide once both the jobs and the registry were read as a whole. */
    private void startWhenLoaded() {
        if (scheduler.isPresent() || loadedJobs.isEmpty() || loadedProgress.isEmpty() || !registryLoaded) {
            return;
        }
        WorkTime now = now();
        EarlierHosts earlier = previousLeader
                .map(leader -> EarlierHosts.of(leader, hostEntries.values(), terms))
                .orElse(EarlierHosts.NONE);
        WorkScheduler created = new WorkScheduler(terms, epoch, earlier, now.monotonic());
        loadJobs(created, loadedJobs.get(), loadedProgress.get(), now);
        created.hostsListed(List.copyOf(hostEntries.values()), now);
        scheduler = Optional.of(created);
        dispatcher = Optional.of(new OrderDispatcher(this, ports, created, jobRecords, progressAppender, epoch));
        machines = Optional.of(new MachineController(
                this, ports, created, terms, jobRecords, progressAppender, decodeWaveProgress(), epoch));
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

    /** Submissions come before what refers to them, whatever the order of their keys. */
    private void loadJobs(
            WorkScheduler target, List<KeyedRecord> stored, List<KeyedRecord> progressRecords, WorkTime now) {
        for (KeyedRecord entry : stored) {
            jobRecords.decodeSubmission(entry).ifPresent(submission -> target.submitted(submission, now));
        }
        selectNewestPerJob(progressRecords.stream().flatMap(entry -> jobRecords.decodeProgress(entry).stream()))
                .forEach(kept -> target.restored(kept, now));
        for (KeyedRecord entry : stored) {
            JobRecords.decodeCancellation(entry).ifPresent(job -> target.cancelled(job, now));
        }
    }

    static List<WorkProgress> selectNewestPerJob(Stream<WorkProgress> records) {
        Map<String, WorkProgress> newest = new LinkedHashMap<>();
        records.forEach(
                kept -> newest.merge(kept.job(), kept, (one, other) -> one.version() >= other.version() ? one : other));
        return List.copyOf(newest.values());
    }

    private void applyNewJobs(List<KeyedRecord> stored) {
        if (scheduler.isEmpty()) {
            List<KeyedRecord> all = new ArrayList<>(loadedJobs.orElse(List.of()));
            all.addAll(stored);
            loadedJobs = Optional.of(all);
            return;
        }
        WorkTime now = now();
        for (KeyedRecord entry : stored) {
            jobRecords.decodeSubmission(entry).ifPresent(submission -> {
                scheduler.get().submitted(submission, now);
                ports.log()
                        .emit(
                                EventKind.JOB_LEARNED,
                                EventDetail.of("job", submission.job()),
                                EventDetail.of("queue", submission.queue()),
                                EventDetail.of("offset", entry.offset()));
            });
            JobRecords.decodeCancellation(entry)
                    .ifPresent(job -> scheduler.get().cancelled(job, now));
        }
    }

    private void applyRegistryRecords(List<KeyedRecord> stored) {
        for (KeyedRecord entry : stored) {
            Optional<HostEntry> host = entry.value().isEmpty()
                    ? Optional.empty()
                    : ports.registry().decodeHost(entry);
            if (host.isPresent()) {
                hostEntries.put(entry.key(), host.get());
            } else {
                hostEntries.remove(entry.key());
            }
        }
        scheduler.ifPresent(present -> {
            present.hostsListed(List.copyOf(hostEntries.values()), now());
            pollNewHosts();
        });
    }

    private void pollNewHosts() {
        for (String host : scheduler.get().hosts()) {
            if (polledHosts.add(host)) {
                new HostPoller(this, ports, scheduler.get(), host, epoch, () -> polledHosts.remove(host)).poll();
            }
        }
    }

    /** Tells whether this process may still start work, by its last confirmed heartbeat. */
    private boolean canStartRuns() {
        return ports.unconfirmedMilliseconds().getAsLong() < terms.startLimit();
    }

    /** Tells whether this process may still renew leases, by its last confirmed heartbeat. */
    boolean canRenewLeases() {
        return ports.unconfirmedMilliseconds().getAsLong() < terms.unconfirmedLimit();
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
