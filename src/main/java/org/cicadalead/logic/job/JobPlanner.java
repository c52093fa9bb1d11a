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
 * Decides which waiting jobs go to which hosts. Each pool is planned by itself: by urgency, fair over teams, best fit
 * on expected sizes. The plan is advice; the fold accepts a placement only if the job and the host are as they were
 * read. Stateless; safe for use by several threads.
 */
public final class JobPlanner {
    private JobPlanner() {}

    /** Plans one round. */
    public static JobPlan plan(PlanningInput input) {
        Map<PoolName, List<JobState>> waiting = new TreeMap<>();
        Map<HostName, List<JobState>> placed = new HashMap<>();
        for (JobState job : input.state().jobs().unfinished().values()) {
            if (job.phase() == JobPhase.WAITING) {
                waiting.computeIfAbsent(job.submission().pool(), unseen -> new ArrayList<>())
                        .add(job);
            } else {
                job.host().ifPresent(host -> placed.computeIfAbsent(host, unseen -> new ArrayList<>())
                        .add(job));
            }
        }
        return planPools(input, waiting, placed);
    }

    private static JobPlan planPools(
            PlanningInput input, Map<PoolName, List<JobState>> waiting, Map<HostName, List<JobState>> placed) {
        List<JobCommand.Placement> placements = new ArrayList<>();
        List<JobCommand.Stop> stops = new ArrayList<>();
        List<TaskAction> actions = new ArrayList<>();
        List<HostName> barred = new ArrayList<>();
        availableHosts(input).forEach((pool, hosts) -> {
            List<HostName> barredHere = ExcludedHosts.find(input.state(), pool, hosts);
            barred.addAll(barredHere);
            List<HostAllocation> rooms = createAllocations(input, hosts, Set.copyOf(barredHere), placed);
            List<JobState> jobs = waiting.getOrDefault(pool, List.of());
            actions.addAll(new PoolPlanner(input, rooms, jobs, placements, stops).plan());
        });
        return new JobPlan(placements, stops, actions, barred);
    }

    private static Map<PoolName, List<HostState>> availableHosts(PlanningInput input) {
        Map<PoolName, List<HostState>> available = new TreeMap<>();
        for (HostState host : input.state().hosts().values()) {
            if (host.isAvailable()) {
                available
                        .computeIfAbsent(host.pool(), unseen -> new ArrayList<>())
                        .add(host);
            }
        }
        return available;
    }

    private static List<HostAllocation> createAllocations(
            PlanningInput input, List<HostState> hosts, Set<HostName> barred, Map<HostName, List<JobState>> placed) {
        List<HostAllocation> rooms = new ArrayList<>();
        for (HostState host : hosts) {
            boolean backingOff = !input.backoff().allowsPlacement(host.name(), input.nowNanoseconds());
            Optional<JobSize> size = JobFeasibility.declaredSizeOf(input.state(), host.name());
            boolean probeOnly = barred.contains(host.name());
            if (size.isEmpty()) {
                continue;
            }
            HostAllocation room = new HostAllocation(
                    host.name(),
                    size.get(),
                    input.state().jobs().host(host.name()).lastPlacement(),
                    probeOnly);
            placed.getOrDefault(host.name(), List.of()).forEach(job -> allocatePlacedJob(input, room, job));
            if (backingOff) {
                room.disallowNewJobs();
            }
            rooms.add(room);
        }
        return rooms;
    }

    /**
     * A task that uses more than expected takes that much; one that has not been seen for long is taken as expected.
     */
    private static void allocatePlacedJob(PlanningInput input, HostAllocation room, JobState job) {
        JobSize reported = input.tasks()
                .find(new TaskReference(job.submission().job(), job.epoch()))
                .map(TaskStatus::usage)
                .orElse(JobSize.NONE);
        JobSize expected = input.usage().estimate(job.submission());
        room.allocate(job, expected.max(reported), reported);
    }
}
