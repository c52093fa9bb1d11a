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
    static final int MAXIMUM_PREEMPTING_URGENCY = 1;

    /** Jobs of this urgency or a less urgent one may lose their room. */
    static final int MINIMUM_PREEMPTED_URGENCY = 5;

    /** Share of a host's processors in use, by report, below which slowed tasks run at full speed again. */
    private static final double UNTHROTTLE_SHARE = 0.7;

    private final PlanningInput input;
    private final List<HostRoom> rooms;
    private final TeamQueues queues;
    private final List<JobCommand.Placement> placements;
    private final List<JobCommand.Stop> stops;
    private final List<TaskAction> actions = new ArrayList<>();
    private boolean hasReserved;

    PoolPlanner(
            PlanningInput input,
            List<HostRoom> rooms,
            List<JobState> waiting,
            List<JobCommand.Placement> placements,
            List<JobCommand.Stop> stops) {
        this.input = input;
        this.rooms = rooms;
        this.placements = placements;
        this.stops = stops;
        JobSize poolSize = JobSize.NONE;
        for (HostRoom room : rooms) {
            poolSize = poolSize.plus(room.total());
        }
        this.queues = new TeamQueues(input.state(), poolSize, waiting);
        rooms.forEach(room -> room.uses()
                .forEach(use -> queues.countUse(use.job().submission().team(), use.size())));
    }

    /** Plans the pool and returns what the platform is to be asked. */
    List<TaskAction> plan() {
        rooms.forEach(this::adjustSpeed);
        queues.open();
        for (Optional<JobState> next = queues.next();
                next.isPresent() && placements.size() < JobCommand.MAXIMUM_ENTRIES;
                next = queues.next()) {
            JobState job = next.get();
            queues.settle(job.submission().team(), planJob(job));
        }
        return actions;
    }

    private JobSize planJob(JobState job) {
        JobSize size = input.usage().estimate(job.submission());
        Optional<HostRoom> best = rooms.stream()
                .filter(room -> mayRun(job, room) && room.takes(room.sizeHere(job.submission(), size)))
                .min(Comparator.comparingDouble(
                                (HostRoom room) -> room.leftAfter(room.sizeHere(job.submission(), size)))
                        .thenComparing(HostRoom::host));
        if (best.isPresent()) {
            HostRoom room = best.get();
            room.take(job, size, JobSize.NONE);
            placements.add(
                    new JobCommand.Placement(job.submission().job(), job.version(), room.host(), room.lastPlacement()));
            return size;
        }
        passOver(job, size);
        return JobSize.NONE;
    }

    /** A job goes back to a host on which it failed only when no other host could take it. */
    private boolean mayRun(JobState job, HostRoom room) {
        if (!job.failedHosts().contains(room.host())) {
            return true;
        }
        return rooms.stream()
                .noneMatch(other -> !job.failedHosts().contains(other.host())
                        && job.submission().size().fitsInto(other.total()));
    }

    private void passOver(JobState job, JobSize size) {
        if (job.submission().urgency() <= MAXIMUM_PREEMPTING_URGENCY && preemptFor(job, size)) {
            return;
        }
        if (hasReserved) {
            return;
        }
        rooms.stream()
                .filter(room ->
                        mayRun(job, room) && job.submission().size().fitsInto(room.total()) && room.isReservable())
                .max(Comparator.comparingDouble(HostRoom::free).thenComparing(HostRoom::host))
                .ifPresent(room -> {
                    room.reserve();
                    hasReserved = true;
                });
    }

    private boolean preemptFor(JobState job, JobSize size) {
        Optional<Preemption> cheapest = rooms.stream()
                .filter(room -> mayRun(job, room))
                .flatMap(room -> preemption(room, room.sizeHere(job.submission(), size)).stream())
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
    private static Optional<Preemption> preemption(HostRoom room, JobSize size) {
        List<HostRoom.RoomUse> candidates = room.uses().stream()
                .filter(PoolPlanner::mayLoseRoom)
                .sorted(Comparator.comparing((HostRoom.RoomUse use) -> use.job().phase() != JobPhase.STOPPING)
                        .thenComparing(use -> -use.job().submission().urgency())
                        .thenComparing(use -> -use.job().acceptedAt()))
                .toList();
        JobSize freed = JobSize.NONE;
        List<JobState> victims = new ArrayList<>();
        for (HostRoom.RoomUse use : candidates) {
            freed = freed.plus(use.size());
            if (use.job().phase() != JobPhase.STOPPING) {
                victims.add(use.job());
            }
            if (room.takesAfter(size, freed)) {
                return Optional.of(new Preemption(room, victims));
            }
        }
        return Optional.empty();
    }

    private static boolean mayLoseRoom(HostRoom.RoomUse use) {
        return use.job().phase() == JobPhase.STOPPING
                || (use.job().phase() == JobPhase.RUNNING
                        && use.job().submission().urgency() >= MINIMUM_PREEMPTED_URGENCY);
    }

    /** Slows the least urgent tasks down where more processors are in use than there are. */
    private void adjustSpeed(HostRoom room) {
        double used = room.uses().stream()
                .mapToDouble(use -> use.reported().processors())
                .sum();
        Comparator<HostRoom.RoomUse> leastUrgent = Comparator.comparing(
                        (HostRoom.RoomUse use) -> -use.job().submission().urgency())
                .thenComparing(use -> -use.job().acceptedAt());
        boolean tight = used > room.total().processors();
        boolean loose = used < room.total().processors() * UNTHROTTLE_SHARE;
        room.uses().stream()
                .filter(use -> use.job().phase() == JobPhase.RUNNING)
                .filter(use -> use.job().throttled() ? loose : tight)
                .min(leastUrgent)
                .ifPresent(use -> actions.add(new TaskAction(
                        tight ? TaskActionKind.THROTTLE : TaskActionKind.UNTHROTTLE, referenceOf(use.job()))));
    }

    private static TaskReference referenceOf(JobState job) {
        return new TaskReference(job.submission().job(), job.epoch());
    }

    private record Preemption(HostRoom room, List<JobState> victims) {}
}
