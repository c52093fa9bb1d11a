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
 * Plans the jobs of one pool for one round. A job that fits nowhere now is passed over; the first such job for which a
 * host is large enough reserves that host, so that smaller work can't keep it waiting for ever. For use by one thread.
 */
final class PoolPlanner {
    /** Jobs of this urgency or a more urgent one may take the room of others. */
    static final int MAX_PREEMPTING_URGENCY = 1;

    /** Jobs of this urgency or a less urgent one may lose their room. */
    static final int MIN_PREEMPTED_URGENCY = 5;

    /** Share of a host's processors in use, by report, below which slowed tasks run at full speed again. */
    private static final double UNTHROTTLE_SHARE = 0.7;

    private final PlanningInput input;
    private final List<HostAllocation> hosts;
    private final TeamQueues queues;
    private final List<JobCommand.Placement> placements;
    private final List<JobCommand.Stop> stops;
    private final List<TaskAction> actions = new ArrayList<>();
    private boolean hasReserved;

    PoolPlanner(
            PlanningInput input,
            List<HostAllocation> rooms,
            List<JobState> waiting,
            List<JobCommand.Placement> placements,
            List<JobCommand.Stop> stops) {
        this.input = input;
        this.hosts = rooms;
        this.placements = placements;
        this.stops = stops;
        JobSize poolSize = JobSize.NONE;
        for (HostAllocation room : rooms) {
            poolSize = poolSize.plus(room.total());
        }
        this.queues = new TeamQueues(input.state(), poolSize, waiting);
        rooms.forEach(room -> room.allocatedJobs()
                .forEach(use -> queues.addUsage(use.job().submission().team(), use.size())));
    }

    /** Plans the pool and returns what the platform is to be asked. */
    List<TaskAction> plan() {
        hosts.forEach(this::adjustThrottling);
        queues.start();
        for (Optional<JobState> next = queues.pollNext();
                next.isPresent() && placements.size() < JobCommand.MAXIMUM_ENTRIES;
                next = queues.pollNext()) {
            JobState job = next.get();
            queues.requeueTeam(job.submission().team(), planJob(job));
        }
        return actions;
    }

    private JobSize planJob(JobState job) {
        JobSize size = input.usage().estimate(job.submission());
        Optional<HostAllocation> best = hosts.stream()
                .filter(room -> canRunOn(job, room) && room.canFit(room.sizeOnHost(job.submission(), size)))
                .min(Comparator.comparingDouble(
                                (HostAllocation room) -> room.freeShareAfter(room.sizeOnHost(job.submission(), size)))
                        .thenComparing(HostAllocation::host));
        if (best.isPresent()) {
            HostAllocation room = best.get();
            room.allocate(job, size, JobSize.NONE);
            placements.add(
                    new JobCommand.Placement(job.submission().job(), job.version(), room.host(), room.lastPlacement()));
            return size;
        }
        preemptOrReserve(job, size);
        return JobSize.NONE;
    }

    /** A job goes back to a host on which it failed only when no other host could take it. */
    private boolean canRunOn(JobState job, HostAllocation room) {
        if (!job.failedHosts().contains(room.host())) {
            return true;
        }
        return hosts.stream()
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
        hosts.stream()
                .filter(room ->
                        canRunOn(job, room) && job.submission().size().fitsInto(room.total()) && room.isReservable())
                .max(Comparator.comparingDouble(HostAllocation::freeShare).thenComparing(HostAllocation::host))
                .ifPresent(room -> {
                    room.reserve();
                    hasReserved = true;
                });
    }

    private boolean preemptFor(JobState job, JobSize size) {
        Optional<Preemption> cheapest = hosts.stream()
                .filter(room -> canRunOn(job, room))
                .flatMap(room -> findPreemption(room, room.sizeOnHost(job.submission(), size)).stream())
                .min(Comparator.comparingInt(
                                (Preemption found) -> found.victims().size())
                        .thenComparing(found -> found.room().host()));
        cheapest.ifPresent(found -> {
            found.victims()
                    .forEach(victim -> stops.add(
                            new JobCommand.Stop(victim.submission().job(), victim.epoch(), StopReason.PREEMPTED)));
            found.room().reserve();
        });
        return cheapest.isPresent();
    }

    /** Tasks that stop already come first, then the least urgent and youngest. */
    private static Optional<Preemption> findPreemption(HostAllocation room, JobSize size) {
        List<HostAllocation.AllocatedJob> candidates = room.allocatedJobs().stream()
                .filter(PoolPlanner::isPreemptible)
                .sorted(Comparator.comparing(
                                (HostAllocation.AllocatedJob use) -> use.job().phase() != JobPhase.STOPPING)
                        .thenComparing(use -> -use.job().submission().urgency())
                        .thenComparing(use -> -use.job().acceptedAt()))
                .toList();
        JobSize freed = JobSize.NONE;
        List<JobState> victims = new ArrayList<>();
        for (HostAllocation.AllocatedJob use : candidates) {
            freed = freed.plus(use.size());
            if (use.job().phase() != JobPhase.STOPPING) {
                victims.add(use.job());
            }
            if (room.canFitAfterFreeing(size, freed)) {
                return Optional.of(new Preemption(room, victims));
            }
        }
        return Optional.empty();
    }

    private static boolean isPreemptible(HostAllocation.AllocatedJob use) {
        return use.job().phase() == JobPhase.STOPPING
                || (use.job().phase() == JobPhase.RUNNING
                        && use.job().submission().urgency() >= MIN_PREEMPTED_URGENCY);
    }

    /** Slows the least urgent tasks down where more processors are in use than there are. */
    private void adjustThrottling(HostAllocation room) {
        double used = room.allocatedJobs().stream()
                .mapToDouble(use -> use.reportedUsage().processors())
                .sum();
        Comparator<HostAllocation.AllocatedJob> leastUrgent = Comparator.comparing((HostAllocation.AllocatedJob use) ->
                        -use.job().submission().urgency())
                .thenComparing(use -> -use.job().acceptedAt());
        boolean tight = used > room.total().processors();
        boolean loose = used < room.total().processors() * UNTHROTTLE_SHARE;
        room.allocatedJobs().stream()
                .filter(use -> use.job().phase() == JobPhase.RUNNING)
                .filter(use -> use.job().throttled() ? loose : tight)
                .min(leastUrgent)
                .ifPresent(use -> actions.add(new TaskAction(
                        tight ? TaskActionKind.THROTTLE : TaskActionKind.UNTHROTTLE, referenceOf(use.job()))));
    }

    private static TaskReference referenceOf(JobState job) {
        return new TaskReference(job.submission().job(), job.epoch());
    }

    private record Preemption(HostAllocation room, List<JobState> victims) {}
}
