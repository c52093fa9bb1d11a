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
    private static final Duration REGISTRY_PERIOD = Duration.ofMillis(250);

    /** Longest time between two rounds of decisions, for what is due by time alone. */
    private static final long ROUND_MILLISECONDS = 100;

    /** Age of the last reading of jobs from which on a job that is not known may be a new one. */
    private static final long STALE_MILLISECONDS = 2_000;

    /** Pause before a reading that failed is repeated. */
    private static final long RETRY_MILLISECONDS = 150;

    /** Events that arrive within this time are decided on together. */
    private static final long GATHER_MILLISECONDS = 4;

    private final SchedulingPorts ports;
    private final ScheduledExecutorService executor;
    private final SchedulingTerms terms;
    private final long epoch;
    private final Optional<LeaderRecord> before;
    private final Consumer<HostsInUse> hostsInUseListener;
    private final JobRecords records;
    private final TermAppender progress;
    private final JobsFeed jobs;
    private final TopicFollower registry;
    private final Map<String, HostEntry> entries = new HashMap<>();
    private final Set<String> watched = new HashSet<>();
    private Optional<List<KeyedRecord>> loadedJobs = Optional.empty();
    private Optional<List<KeyedRecord>> loadedProgress = Optional.empty();
    private boolean registryLoaded;
    private Optional<WorkScheduler> scheduler = Optional.empty();
    private Optional<OrderDispatch> dispatch = Optional.empty();
    private Optional<MachineControl> machines = Optional.empty();
    private Optional<ScheduledFuture<?>> rounds = Optional.empty();
    private boolean roundScheduled;
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
        this.before = before;
        this.hostsInUseListener = hostsInUseListener;
        this.records = new JobRecords(ports.codec());
        this.progress = new TermAppender(ports.store(), PROGRESS_TOPICS, ports.timers(), epoch, ports.superseded());
        this.jobs = new JobsFeed(ports.store(), ports.timers(), new JobsListener());
        this.registry = new TopicFollower(
                ports.store(), Topic.HOSTS, ports.timers(), Duration.ZERO, REGISTRY_PERIOD, new RegistryListener());
    }

    void start() {
        // Read after the fence, the jobs include every one of which an earlier term can have kept progress.
        progress.fence().thenRun(() -> {
            jobs.start();
            readProgress();
        });
        registry.start();
        rounds = Optional.of(executor.scheduleWithFixedDelay(
                () -> scheduleRound(0), ROUND_MILLISECONDS, ROUND_MILLISECONDS, TimeUnit.MILLISECONDS));
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
                        beginWhenLoaded();
                    } else {
                        executor.schedule(() -> enqueue(this::readProgress), RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
                    }
                }));
    }

    /** Ends the term, and returns the hosts that may go on running something. */
    HostsInUse resign() {
        HostsInUse used =
                scheduler.map(present -> present.announceHostsInUse(now())).orElse(HostsInUse.NONE);
        close();
        return used;
    }

    /** Tells whether the term has begun to give orders. */
    boolean hasBegun() {
        return scheduler.isPresent();
    }

    /** A statement on the hosts in use is in the store. */
    void published(long generation) {
        scheduler.ifPresent(present -> {
            present.onAnnouncementStored(generation);
            scheduleRound(0);
        });
    }

    void close() {
        closed = true;
        rounds.ifPresent(timer -> timer.cancel(false));
        jobs.close();
        progress.close();
        machines.ifPresent(MachineControl::close);
        registry.close();
    }

    <T> Optional<T> ask(Function<JobsView, T> question) {
        long age = TimeUnit.NANOSECONDS.toMillis(ports.timers().nanoTime() - jobs.readAt());
        boolean current = age < STALE_MILLISECONDS;
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
                guarded(action);
                scheduleRound(GATHER_MILLISECONDS);
            }
        });
    }

    private void scheduleRound(long delay) {
        if (!roundScheduled) {
            roundScheduled = true;
            executor.schedule(() -> guarded(this::round), delay, TimeUnit.MILLISECONDS);
        }
    }

    /** The executor keeps what its tasks throw to itself. */
    private void guarded(Runnable action) {
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

    private void round() {
        roundScheduled = false;
        if (closed || scheduler.isEmpty()) {
            return;
        }
        WorkTime now = now();
        boolean mayStart = mayStart();
        List<WorkOrder> orders = scheduler.get().decide(now, mayStart);
        dispatch.ifPresent(orderDispatch -> orders.forEach(orderDispatch::execute));
        machines.ifPresent(machineControl -> machineControl.round(now, mayStart));
        boolean waitsForStatement = scheduler.get().hasPendingStartIntents();
        hostsInUseListener.accept(scheduler.get().announceHostsInUse(now));
        if (waitsForStatement) {
            ports.stateSoon().run();
        }
    }

    /** Begins to decide once both the jobs and the registry were read as a whole. */
    private void beginWhenLoaded() {
        if (scheduler.isPresent() || loadedJobs.isEmpty() || loadedProgress.isEmpty() || !registryLoaded) {
            return;
        }
        WorkTime now = now();
        EarlierHosts earlier = before.map(leader -> EarlierHosts.from(leader, entries.values(), terms))
                .orElse(EarlierHosts.NONE);
        WorkScheduler created = new WorkScheduler(terms, epoch, earlier, now.monotonic());
        takeJobs(created, loadedJobs.get(), loadedProgress.get(), now);
        created.updateHosts(List.copyOf(entries.values()), now);
        scheduler = Optional.of(created);
        dispatch = Optional.of(new OrderDispatch(this, ports, created, records, progress, epoch));
        machines = Optional.of(new MachineControl(this, ports, created, terms, records, progress, keptWaves(), epoch));
        loadedJobs = Optional.of(List.of());
        loadedProgress = Optional.of(List.of());
        watchHosts();
        scheduleRound(0);
    }

    private List<WaveProgress> keptWaves() {
        return loadedProgress.orElse(List.of()).stream()
                .flatMap(entry -> records.readWave(entry).stream())
                .toList();
    }

    /** Submissions come before what refers to them, whatever the order of their keys. */
    private void takeJobs(
            WorkScheduler target, List<KeyedRecord> stored, List<KeyedRecord> progressRecords, WorkTime now) {
        for (KeyedRecord entry : stored) {
            records.readSubmission(entry).ifPresent(submission -> target.addJob(submission, now));
        }
        newestOfEachJob(progressRecords.stream().flatMap(entry -> records.readProgress(entry).stream()))
                .forEach(kept -> target.restoreProgress(kept, now));
        for (KeyedRecord entry : stored) {
            JobRecords.readCancellation(entry).ifPresent(job -> target.cancelJob(job, now));
        }
    }

    static List<WorkProgress> newestOfEachJob(Stream<WorkProgress> records) {
        Map<String, WorkProgress> newest = new LinkedHashMap<>();
        records.forEach(
                kept -> newest.merge(kept.job(), kept, (one, other) -> one.version() >= other.version() ? one : other));
        return List.copyOf(newest.values());
    }

    private void takeNewJobs(List<KeyedRecord> stored) {
        if (scheduler.isEmpty()) {
            List<KeyedRecord> all = new ArrayList<>(loadedJobs.orElse(List.of()));
            all.addAll(stored);
            loadedJobs = Optional.of(all);
            return;
        }
        WorkTime now = now();
        for (KeyedRecord entry : stored) {
            records.readSubmission(entry).ifPresent(submission -> {
                scheduler.get().addJob(submission, now);
                ports.log()
                        .emit(
                                EventKind.JOB_LEARNED,
                                EventDetail.of("job", submission.job()),
                                EventDetail.of("queue", submission.queue()),
                                EventDetail.of("offset", entry.offset()));
            });
            JobRecords.readCancellation(entry).ifPresent(job -> scheduler.get().cancelJob(job, now));
        }
    }

    private void takeRegistry(List<KeyedRecord> stored) {
        for (KeyedRecord entry : stored) {
            Optional<HostEntry> host = entry.value().isEmpty()
                    ? Optional.empty()
                    : ports.registry().host(entry);
            if (host.isPresent()) {
                entries.put(entry.key(), host.get());
            } else {
                entries.remove(entry.key());
            }
        }
        scheduler.ifPresent(present -> {
            present.updateHosts(List.copyOf(entries.values()), now());
            watchHosts();
        });
    }

    private void watchHosts() {
        for (String host : scheduler.get().findHostsToPoll()) {
            if (watched.add(host)) {
                new HostWatch(this, ports, scheduler.get(), host, epoch, () -> watched.remove(host)).look();
            }
        }
    }

    /** Tells whether this process may still start work, by its last confirmed heartbeat. */
    private boolean mayStart() {
        return ports.unconfirmedMilliseconds().getAsLong() < terms.startLimitMilliseconds();
    }

    /** Tells whether this process may still renew leases, by its last confirmed heartbeat. */
    boolean mayRenew() {
        return ports.unconfirmedMilliseconds().getAsLong() < terms.renewalLimitMilliseconds();
    }

    boolean isClosed() {
        return closed;
    }

    ScheduledExecutorService executor() {
        return executor;
    }

    private final class JobsListener implements JobsFeed.Listener {
        @Override
        public void loaded(List<KeyedRecord> stored) {
            enqueue(() -> {
                loadedJobs = Optional.of(stored);
                beginWhenLoaded();
            });
        }

        @Override
        public void records(List<KeyedRecord> stored) {
            enqueue(() -> takeNewJobs(stored));
        }
    }

    private final class RegistryListener implements TopicFollower.Listener {
        @Override
        public void snapshot(List<KeyedRecord> stored) {
            enqueue(() -> {
                entries.clear();
                registryLoaded = true;
                takeRegistry(stored);
                beginWhenLoaded();
            });
        }

        @Override
        public void records(List<KeyedRecord> stored) {
            enqueue(() -> takeRegistry(stored));
        }
    }
}
