package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.TaskAction;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;

/**
 * Decides which waiting jobs are placed on which hosts. Each pool is planned separately: jobs are ordered by urgency
 * and then by fair share of the teams, and each is placed on the best-fitting host for its expected size. A plan is
 * only a proposal; the fold accepts a placement only if job and host have not changed since they were read. Stateless;
 * safe for use by several threads.
 */
public final class JobPlanner {
    private JobPlanner() {}

    /** Returns the decisions of one planning cycle. */
    public static JobPlan plan(JobPlanningInput input) {
        Map<PoolName, List<JobState>> waitingByPool = new TreeMap<>();
        Map<HostName, List<JobState>> placedByHost = new HashMap<>();
        for (JobState job : input.state().jobs().unfinished().values()) {
            if (job.phase() == JobPhase.WAITING) {
                waitingByPool
                        .computeIfAbsent(job.submission().pool(), key -> new ArrayList<>())
                        .add(job);
            } else {
                job.host().ifPresent(host -> placedByHost
                        .computeIfAbsent(host, key -> new ArrayList<>())
                        .add(job));
            }
        }
        return planPools(input, waitingByPool, placedByHost);
    }

    private static JobPlan planPools(
            JobPlanningInput input,
            Map<PoolName, List<JobState>> waitingByPool,
            Map<HostName, List<JobState>> placedByHost) {
        List<JobCommand.Placement> placements = new ArrayList<>();
        List<JobCommand.Stop> stops = new ArrayList<>();
        List<TaskAction> actions = new ArrayList<>();
        List<HostName> excluded = new ArrayList<>();
        availableHosts(input).forEach((pool, hosts) -> {
            List<HostName> excludedInPool = ExcludedHosts.find(input.state(), pool, hosts);
            excluded.addAll(excludedInPool);
            List<HostAllocation> allocations =
                    createAllocations(input, hosts, Set.copyOf(excludedInPool), placedByHost);
            List<JobState> jobs = waitingByPool.getOrDefault(pool, List.of());
            actions.addAll(new PoolPlanner(input, allocations, jobs, placements, stops).plan());
        });
        return new JobPlan(placements, stops, actions, excluded);
    }

    private static Map<PoolName, List<HostState>> availableHosts(JobPlanningInput input) {
        Map<PoolName, List<HostState>> availableByPool = new TreeMap<>();
        for (HostState host : input.state().hosts().values()) {
            if (host.isAvailable()) {
                availableByPool
                        .computeIfAbsent(host.pool(), key -> new ArrayList<>())
                        .add(host);
            }
        }
        return availableByPool;
    }

    private static List<HostAllocation> createAllocations(
            JobPlanningInput input,
            List<HostState> hosts,
            Set<HostName> excluded,
            Map<HostName, List<JobState>> placedByHost) {
        List<HostAllocation> allocations = new ArrayList<>();
        for (HostState host : hosts) {
            boolean isBackingOff = !input.backoff().allowsPlacement(host.name(), input.nowNanoseconds());
            Optional<JobSize> size = JobFeasibility.findDeclaredSize(input.state(), host.name());
            boolean probeOnly = excluded.contains(host.name());
            if (size.isEmpty()) {
                continue;
            }
            HostAllocation allocation = new HostAllocation(
                    host.name(),
                    size.get(),
                    input.state().jobs().host(host.name()).lastPlacement(),
                    probeOnly);
            placedByHost.getOrDefault(host.name(), List.of()).forEach(job -> allocatePlacedJob(input, allocation, job));
            if (isBackingOff) {
                allocation.disallowNewJobs();
            }
            allocations.add(allocation);
        }
        return allocations;
    }

    /**
     * Allocates the larger of the reported and the expected usage. A task without a reported usage counts with its
     * expected usage.
     */
    private static void allocatePlacedJob(JobPlanningInput input, HostAllocation allocation, JobState job) {
        JobSize reportedUsage = input.tasks()
                .find(new TaskReference(job.submission().job(), job.epoch()))
                .map(TaskStatus::usage)
                .orElse(JobSize.NONE);
        JobSize expectedUsage = input.usage().estimate(job.submission());
        allocation.allocate(job, expectedUsage.max(reportedUsage), reportedUsage);
    }
}
