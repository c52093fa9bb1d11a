package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.StopReason;
import org.cicadalead.model.job.TaskAction;
import org.cicadalead.model.job.TaskActionKind;
import org.cicadalead.model.job.TaskReference;

/**
 * Plans the jobs of one pool for one planning cycle. A job that fits on no host now is skipped; the first such job for
 * which a host is large enough reserves that host, so that smaller jobs cannot starve it. Not thread-safe.
 */
final class PoolPlanner {
    /** Largest urgency value, that is the least urgent, at which a job may preempt others; 0 is the most urgent. */
    static final int MAX_PREEMPTING_URGENCY = 1;

    /** Smallest urgency value, that is the most urgent, at which a job may be preempted. */
    static final int MIN_PREEMPTED_URGENCY = 5;

    /** Share of a host's processors in reported use below which throttled tasks are unthrottled. */
    private static final double UNTHROTTLE_SHARE = 0.7;

    private final JobPlanningInput input;
    private final List<HostAllocation> allocations;
    private final TeamQueues queues;
    private final List<JobCommand.Placement> placements;
    private final List<JobCommand.Stop> stops;
    private final List<TaskAction> actions = new ArrayList<>();
    private boolean hasReserved;

    PoolPlanner(
            JobPlanningInput input,
            List<HostAllocation> allocations,
            List<JobState> waiting,
            List<JobCommand.Placement> placements,
            List<JobCommand.Stop> stops) {
        this.input = input;
        this.allocations = allocations;
        this.placements = placements;
        this.stops = stops;
        JobSize poolSize = JobSize.NONE;
        for (HostAllocation allocation : allocations) {
            poolSize = poolSize.plus(allocation.total());
        }
        this.queues = new TeamQueues(input.state(), poolSize, waiting);
        allocations.forEach(allocation -> allocation
                .allocatedJobs()
                .forEach(allocated ->
                        queues.addUsage(allocated.job().submission().team(), allocated.size())));
    }

    /** Plans the pool and returns the tasks to throttle or unthrottle; adds placements and stops to the given lists. */
    List<TaskAction> plan() {
        allocations.forEach(this::adjustThrottling);
        queues.start();
        for (Optional<JobState> next = queues.pollNext();
                next.isPresent() && placements.size() < JobCommand.MAX_ENTRIES;
                next = queues.pollNext()) {
            JobState job = next.get();
            queues.requeueTeam(job.submission().team(), planJob(job));
        }
        return actions;
    }

    private JobSize planJob(JobState job) {
        JobSize size = input.usage().estimate(job.submission());
        Optional<HostAllocation> bestFit = allocations.stream()
                .filter(allocation ->
                        canRunOn(job, allocation) && allocation.canFit(allocation.sizeOnHost(job.submission(), size)))
                .min(Comparator.comparingDouble((HostAllocation allocation) ->
                                allocation.freeShareAfter(allocation.sizeOnHost(job.submission(), size)))
                        .thenComparing(HostAllocation::host));
        if (bestFit.isPresent()) {
            HostAllocation allocation = bestFit.get();
            allocation.allocate(job, size, JobSize.NONE);
            placements.add(new JobCommand.Placement(
                    job.submission().job(), job.version(), allocation.host(), allocation.lastPlacement()));
            return size;
        }
        preemptOrReserve(job, size);
        return JobSize.NONE;
    }

    /**
     * Returns whether a job may run on a host. It returns to a host on which it failed only if no other host is large
     * enough.
     */
    private boolean canRunOn(JobState job, HostAllocation allocation) {
        if (!job.failedHosts().contains(allocation.host())) {
            return true;
        }
        return allocations.stream()
                .noneMatch(other -> !job.failedHosts().contains(other.host())
                        && job.submission().size().fitsInto(other.total()));
    }

    private void preemptOrReserve(JobState job, JobSize size) {
        if (job.submission().urgency() <= MAX_PREEMPTING_URGENCY && preemptFor(job, size)) {
            return;
        }
        if (hasReserved) {
            return;
        }
        allocations.stream()
                .filter(allocation -> canRunOn(job, allocation)
                        && job.submission().size().fitsInto(allocation.total())
                        && allocation.isReservable())
                .max(Comparator.comparingDouble(HostAllocation::freeShare).thenComparing(HostAllocation::host))
                .ifPresent(allocation -> {
                    allocation.reserve();
                    hasReserved = true;
                });
    }

    private boolean preemptFor(JobState job, JobSize size) {
        Optional<Preemption> cheapest = allocations.stream()
                .filter(allocation -> canRunOn(job, allocation))
                .flatMap(allocation ->
                        findPreemption(allocation, allocation.sizeOnHost(job.submission(), size)).stream())
                .min(Comparator.comparingInt(
                                (Preemption preemption) -> preemption.victims().size())
                        .thenComparing(preemption -> preemption.allocation().host()));
        cheapest.ifPresent(preemption -> {
            preemption
                    .victims()
                    .forEach(victim -> stops.add(
                            new JobCommand.Stop(victim.submission().job(), victim.epoch(), StopReason.PREEMPTED)));
            preemption.allocation().reserve();
        });
        return cheapest.isPresent();
    }

    /**
     * Selects the tasks to stop: those that are already stopping first, then the least urgent and most recently
     * accepted.
     */
    private static Optional<Preemption> findPreemption(HostAllocation allocation, JobSize size) {
        List<HostAllocation.AllocatedJob> candidates = allocation.allocatedJobs().stream()
                .filter(PoolPlanner::isPreemptible)
                .sorted(Comparator.comparing((HostAllocation.AllocatedJob allocated) ->
                                allocated.job().phase() != JobPhase.STOPPING)
                        .thenComparing(
                                allocated -> -allocated.job().submission().urgency())
                        .thenComparing(allocated -> -allocated.job().acceptedAt()))
                .toList();
        JobSize freed = JobSize.NONE;
        List<JobState> victims = new ArrayList<>();
        for (HostAllocation.AllocatedJob allocated : candidates) {
            freed = freed.plus(allocated.size());
            if (allocated.job().phase() != JobPhase.STOPPING) {
                victims.add(allocated.job());
            }
            if (allocation.canFitAfterFreeing(size, freed)) {
                return Optional.of(new Preemption(allocation, victims));
            }
        }
        return Optional.empty();
    }

    private static boolean isPreemptible(HostAllocation.AllocatedJob allocated) {
        return allocated.job().phase() == JobPhase.STOPPING
                || (allocated.job().phase() == JobPhase.RUNNING
                        && allocated.job().submission().urgency() >= MIN_PREEMPTED_URGENCY);
    }

    /**
     * Throttles the least urgent task if more processors are in use than the host has, and unthrottles when use is low.
     */
    private void adjustThrottling(HostAllocation allocation) {
        double usedProcessors = allocation.allocatedJobs().stream()
                .mapToDouble(allocated -> allocated.reportedUsage().processors())
                .sum();
        Comparator<HostAllocation.AllocatedJob> leastUrgent = Comparator.comparing(
                        (HostAllocation.AllocatedJob allocated) ->
                                -allocated.job().submission().urgency())
                .thenComparing(allocated -> -allocated.job().acceptedAt());
        boolean isOvercommitted = usedProcessors > allocation.total().processors();
        boolean isLightlyUsed = usedProcessors < allocation.total().processors() * UNTHROTTLE_SHARE;
        allocation.allocatedJobs().stream()
                .filter(allocated -> allocated.job().phase() == JobPhase.RUNNING)
                .filter(allocated -> allocated.job().throttled() ? isLightlyUsed : isOvercommitted)
                .min(leastUrgent)
                .ifPresent(allocated -> actions.add(new TaskAction(
                        isOvercommitted ? TaskActionKind.THROTTLE : TaskActionKind.UNTHROTTLE,
                        referenceOf(allocated.job()))));
    }

    private static TaskReference referenceOf(JobState job) {
        return new TaskReference(job.submission().job(), job.epoch());
    }

    private record Preemption(HostAllocation allocation, List<JobState> victims) {}
}
