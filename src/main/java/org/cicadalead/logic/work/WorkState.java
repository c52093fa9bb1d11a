package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadalead.logic.work.account.AccountDemand;
import org.cicadalead.logic.work.account.AccountLimits;
import org.cicadalead.logic.work.account.AccountUsage;
import org.cicadalead.logic.work.waiting.DurationModel;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/** Jobs and hosts during one term of the leader. Not thread-safe. */
final class WorkState {
    /** Limit of the runs of any task in one term. Attempt numbers of a term start above those of the previous term. */
    static final long MAX_ATTEMPTS_PER_TERM = 10_000;

    /** Maximum number of lost runs that wait to be reported; further ones are not reported. */
    private static final int MAX_LOST_RUNS = 1_000;

    final SchedulingTerms terms;
    final long epoch;
    final Map<String, WorkJob> jobs = new LinkedHashMap<>();
    /** Jobs that may have tasks to run, in the order of their arrival; see {@link #retireEndedJobs}. */
    final Set<WorkJob> liveJobs = new LinkedHashSet<>();

    /** Jobs that have ended, in the order in which that was noticed. */
    final Set<WorkJob> endedJobs = new LinkedHashSet<>();

    /** Jobs with progress that no batch contains yet. */
    final Set<WorkJob> unsavedJobs = new LinkedHashSet<>();

    final Map<String, WorkHost> hosts = new HashMap<>();

    /** Identifier of the host that has replied last, by address. */
    private final Map<String, String> hostByAddress = new HashMap<>();

    private final ServiceNames serviceNames = new ServiceNames();
    private final List<GivenUpTask> givenUpTasks = new ArrayList<>();
    private final List<LostRun> lostRuns = new ArrayList<>();
    final ArrivalRates arrivals = new ArrivalRates();
    /** Expected durations by queue; the queues are those of the configurations. */
    private final Map<String, DurationModel> durations = new HashMap<>();

    /** Monotonic time in milliseconds of the last decision, or of the start of the term. */
    long decidedAt;
    /** Processor cores for each megabyte of memory of the registered hosts together; 0 before any is known. */
    private double coresPerMegabyte;

    /** Number of requests to the external policy that are in flight. */
    int pendingAdvisorRequests;

    /** Generation of the newest announcement that is in the store; 0 before the first one. */
    long storedGeneration;

    /** Monotonic time in milliseconds at which the last confirmed record of the leader was sent. */
    private long confirmedAt = WorkHost.NEVER;

    /** Usage and limits of the client accounts. */
    final AccountLimits accounts;

    WorkState(SchedulingTerms terms, long epoch, AccountLimits accounts) {
        this.terms = terms;
        this.epoch = epoch;
        this.accounts = accounts;
    }

    /**
     * Returns whether a stored announcement tells a successor that this term schedules. Until then a successor counts
     * on the bounds of the earlier terms only, so no lease may be given.
     */
    boolean isAnnounced() {
        return storedGeneration > 0;
    }

    /** Returns the expected durations of the tasks of a queue. */
    DurationModel durationsOf(String queue) {
        return durations.computeIfAbsent(queue, key -> new DurationModel());
    }

    /** Records that the progress of a job has changed. */
    void markChanged(WorkJob job) {
        job.changes++;
        unsavedJobs.add(job);
    }

    /** Keeps a task that was given up for the next report. */
    void reportGivenUpTask(GivenUpTask task) {
        givenUpTasks.add(task);
    }

    /** Returns the tasks that were given up since the last call. */
    List<GivenUpTask> takeGivenUpTasks() {
        List<GivenUpTask> taken = List.copyOf(givenUpTasks);
        givenUpTasks.clear();
        return taken;
    }

    /** Keeps a lost run for the next report. */
    void reportLostRun(LostRun run) {
        if (lostRuns.size() < MAX_LOST_RUNS) {
            lostRuns.add(run);
        }
    }

    /** Returns the lost runs since the last call. */
    List<LostRun> takeLostRuns() {
        List<LostRun> taken = List.copyOf(lostRuns);
        lostRuns.clear();
        return taken;
    }

    /** Records the age of the last confirmed record, from which the horizon of leases counts. */
    void updateConfirmation(long now, long unconfirmedMilliseconds) {
        confirmedAt = now - unconfirmedMilliseconds;
    }

    /**
     * Returns the monotonic time in milliseconds at which the last confirmed record of the leader was sent. No later
     * term existed then, so a lease that had expired by then cannot have been renewed by one.
     */
    long confirmedAt() {
        return confirmedAt;
    }

    /** Records the ratio of processors to memory of the registered hosts. */
    void updateCoresPerMegabyte() {
        long milliCores = 0;
        long megabytes = 0;
        for (WorkHost host : hosts.values()) {
            if (host.registered) {
                milliCores += host.entry.capacity().milliCores();
                megabytes += host.entry.capacity().memoryMegabytes();
            }
        }
        coresPerMegabyte = megabytes == 0 ? 0 : milliCores / 1_000.0 / megabytes;
    }

    /**
     * Returns the cores of the host capacity that one task of a step takes: by its processors, or by its memory where
     * that is the larger share of a host.
     */
    double dominantCores(StepSpecification specification) {
        return dominantCores(specification.requiredCapacity());
    }

    private double dominantCores(HostCapacity required) {
        return Math.max(required.milliCores() / 1_000.0, required.memoryMegabytes() * coresPerMegabyte);
    }

    /** Returns the remaining work of a job in core-milliseconds, with the cores of {@link #dominantCores}. */
    double remainingDominantWork(WorkJob job) {
        double sum = 0;
        for (WorkStep step : job.allSteps()) {
            sum += step.remainingTasks() * dominantCores(step.specification) * step.expectedMilliseconds();
        }
        return sum;
    }

    /** Grants a lease on a host, as {@link WorkHost#grantLease} does. */
    OptionalLong grantLease(WorkHost host, long now) {
        return host.grantLease(terms, confirmedAt, now);
    }

    /** Returns whether the limit of their account permits to start tasks of a step together. */
    boolean fitsAccountLimit(WorkStep step, int tasks) {
        return accounts.fits(step.job.usage, step.declaredCapacity, tasks);
    }

    /** Returns the cores of the host capacity that an account has in a service, by its weight. */
    double receivedByWeight(AccountUsage usage, String service) {
        return dominantCores(usage.takenIn(service)) / accounts.weightOf(usage.account());
    }

    /** Returns the smallest number of waiting tasks of a step that can be started together. */
    static int smallestStart(WorkStep step) {
        return step.specification.gang() ? step.taskCount() : 1;
    }

    /** Returns what the tasks without a run would take, by account. */
    Map<String, AccountDemand> findAccountDemands() {
        Map<String, AccountDemand> demands = new HashMap<>();
        for (WorkJob job : liveJobs) {
            if (!job.usage.isPublic()) {
                demands.merge(job.usage.account(), job.waitingDemand(), AccountDemand::plus);
            }
        }
        return demands;
    }

    void addJob(WorkJob job) {
        job.usage = accounts.usageOf(job.submission.account());
        job.isEntitled = accounts.isEntitledTo(job.submission.account(), job.submission.acceptedMilliseconds());
        serviceNames.addUsed(job.submission.service());
        jobs.put(job.identifier(), job);
        liveJobs.add(job);
    }

    /** Adds the service that a further record of a job names. */
    void addUsedService(String service) {
        serviceNames.addUsed(service);
    }

    /** Adds the services that a configuration names. */
    void addConfiguredServices(Set<String> names) {
        serviceNames.addConfigured(names);
    }

    /** Returns whether an entry of the registry may name a host, as its service is named. */
    boolean isServiceNamed(HostEntry entry) {
        return serviceNames.isNamed(entry.service());
    }

    /**
     * Records at which address a host has replied. An address belongs to one process at a time, so a host that replied
     * there before this reply was requested has ended.
     *
     * @param sentAt monotonic time in milliseconds at which the reply was requested
     * @return the host whose process has ended for certain; null when there is none
     */
    @Nullable WorkHost confirmAddress(WorkHost host, String address, long sentAt) {
        host.confirmAddress(address);
        String earlier = hostByAddress.put(address, host.identifier);
        WorkHost previous = earlier == null || earlier.equals(host.identifier) ? null : hosts.get(earlier);
        if (previous == null || !previous.isConfirmedAt(address)) {
            return null;
        }
        if (sentAt > previous.lastReplyAt) {
            return previous;
        }
        // Which of them replied later is not certain; further replies will tell.
        hostByAddress.put(address, earlier);
        return null;
    }

    /** Returns the host that has replied last at an address; empty when none has in this term. */
    Optional<String> findHostAt(String address) {
        return Optional.ofNullable(hostByAddress.get(address));
    }

    /** Removes a host that runs nothing and is not in the registry. */
    void removeHost(WorkHost host) {
        hosts.remove(host.identifier);
        hostByAddress.values().removeIf(host.identifier::equals);
    }

    /** Moves the jobs that have ended out of those that every cycle considers. */
    void retireEndedJobs(long now) {
        for (Iterator<WorkJob> iterator = liveJobs.iterator(); iterator.hasNext(); ) {
            WorkJob job = iterator.next();
            if (job.phase.isTerminal()) {
                job.endedAt = job.endedAt == 0 ? now : job.endedAt;
                endedJobs.add(job);
                iterator.remove();
            }
        }
    }

    void removeJob(WorkJob job) {
        jobs.remove(job.identifier());
        liveJobs.remove(job);
        endedJobs.remove(job);
        unsavedJobs.remove(job);
    }

    @Nullable WorkTask findTask(TaskKey key) {
        WorkJob job = jobs.get(key.job());
        return job == null ? null : job.findTask(key.occurrence(), key.step(), key.index());
    }

    /** Returns the attempt number of the next run of a task. */
    long nextAttempt(WorkTask task) {
        return Math.max(task.lastAttempt, (epoch - 1) * MAX_ATTEMPTS_PER_TERM) + 1;
    }

    WorkHost findOrCreateHost(HostEntry entry, long silentSince) {
        return hosts.computeIfAbsent(entry.identifier(), identifier -> new WorkHost(entry, silentSince));
    }

    List<WorkHost> findHosts(String service) {
        List<WorkHost> hostsOfService = new ArrayList<>();
        for (WorkHost host : hosts.values()) {
            if (host.entry.service().equals(service)) {
                hostsOfService.add(host);
            }
        }
        return hostsOfService;
    }

    static WorkOrder.HostTarget targetOf(WorkHost host) {
        return new WorkOrder.HostTarget(host.identifier, host.address());
    }
}
