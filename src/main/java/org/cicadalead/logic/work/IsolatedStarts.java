package org.cicadalead.logic.work;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.HostCapacity;

/**
 * Chooses hosts for tasks that are suspected to crash them. Such a task starts on a host where no other run is
 * starting, so that a crash tells which task caused it, and that gets no other start until it has outlived this one.
 * Those that are likely to crash it get hosts of their own: a few at a time, and more of them only on idle hosts while
 * the rest of the service has room for the rest of the work. Most of the others only were beside such a task, and wait
 * for no more than a host where nothing is starting. Answers the load of many tasks that were beside one that crashed
 * its host. Not thread-safe.
 */
final class IsolatedStarts {
    /**
     * One in so many hosts of a service may be used, or lost, at a time by tasks that need a host of their own; one in
     * so many stays out of it where more of them are used as they are idle.
     */
    private static final int HOSTS_FOR_EACH_OWN_HOST = 3;

    /** Time after which a host that has not become free of other runs is used all the same. */
    private static final long MAX_WAIT_MILLISECONDS = 2_000;

    private final WorkState state;
    private final CrashLedger crashes;

    IsolatedStarts(WorkState state, CrashLedger crashes) {
        this.state = state;
        this.crashes = crashes;
    }

    /** Withdraws planned starts that are no longer possible or wanted. */
    void withdrawImpossible(long now) {
        for (WorkHost host : state.hosts.values()) {
            IsolatedStart planned = host.isolatedStart;
            if (planned != null && planned.run == null && !isPossible(planned, now)) {
                crashes.withdrawPlannedStart(host);
            }
        }
    }

    private boolean isPossible(IsolatedStart planned, long now) {
        WorkTask task = planned.task;
        return task.isWaiting()
                && !task.step.job.phase.isTerminal()
                && task.step.job.openSteps().contains(task.step)
                && planned.host.canAcceptWorkAsLastResort(now)
                && state.fitsAccountLimit(task.step, 1)
                && task.step.requiredCapacity.fitsInto(planned.host.freeCapacity())
                && HostChoice.permits(task.step, planned.host);
    }

    /** Moves planned starts that wait for their host to become free to hosts that are idle by now. */
    void moveToIdleHosts(long now) {
        for (WorkHost host : state.hosts.values()) {
            IsolatedStart planned = host.isolatedStart;
            if (planned != null && planned.change == 0 && planned.needsOwnHost && !host.runs.isEmpty()) {
                findIdleHost(planned.task, now).ifPresent(idle -> {
                    host.isolatedStart = null;
                    assign(new IsolatedStart(planned.task, idle, true, planned.reservedAt));
                });
            }
        }
    }

    private Optional<WorkHost> findIdleHost(WorkTask task, long now) {
        StepTickets tickets = task.step.tickets;
        return state.findHosts(task.step.job.submission.service()).stream()
                .filter(host -> host.runs.isEmpty()
                        && host.isolatedStart == null
                        && host.canAcceptWork(now)
                        && task.step.requiredCapacity.fitsInto(host.freeCapacity())
                        && HostChoice.permits(task.step, host)
                        && (tickets == null
                                || tickets.findTicket(host.identifier, now).isPresent()))
                .min(Comparator.comparing(host -> host.identifier));
    }

    private static void assign(IsolatedStart planned) {
        planned.host.isolatedStart = planned;
        planned.task.isolatedStart = planned;
    }

    /** Chooses a host for a task; returns whether one was found or the task has to wait for one. */
    boolean plan(WorkTask task, HostChoice choice, Collection<WorkHost> permitted, long now) {
        if (task.isolatedStart != null || crashes.giveUpBeforeStart(task)) {
            return true;
        }
        boolean isLasting = task.step.specification.longRunning();
        Candidates candidates = findCandidates(task, now);
        if (candidates == Candidates.NONE) {
            return true;
        }
        WorkHost best = null;
        for (WorkHost host : permitted) {
            if (host.isolatedStart == null
                    && (candidates == Candidates.ALL || host.runs.isEmpty())
                    && task.step.requiredCapacity.fitsInto(choice.freeCapacityOf(host))
                    && HostChoice.permits(task.step, host)
                    && (best == null || isBetter(host, best))) {
                best = host;
            }
        }
        if (best == null) {
            return !isLasting;
        }
        choice.reserve(best, task.step.specification);
        IsolatedStart planned = new IsolatedStart(task, best, task.crashes.needsOwnHost(), now);
        assign(planned);
        canOrder(planned, now);
        return true;
    }

    /** Returns which hosts a task may use now; only a short one that needs a host of its own is limited. */
    private Candidates findCandidates(WorkTask task, long now) {
        if (task.step.specification.longRunning() || !task.crashes.needsOwnHost()) {
            return Candidates.ALL;
        }
        List<WorkHost> hosts = state.findHosts(task.step.job.submission.service());
        int limit = Math.max(1, hosts.size() / HOSTS_FOR_EACH_OWN_HOST);
        int used = 0;
        int atRisk = 0;
        for (WorkHost host : hosts) {
            IsolatedStart start = host.isolatedStart;
            if (start != null && start.needsOwnHost) {
                used++;
                atRisk += start.run == null || start.run.isStarting() ? 1 : 0;
            }
        }
        if (used < limit) {
            return Candidates.ALL;
        }
        if (!canSpareHost(hosts, now)) {
            return Candidates.NONE;
        }
        return atRisk < limit ? Candidates.ALL : Candidates.IDLE;
    }

    /** Returns whether the hosts that serve the rest of the work would be at most half in use without one of them. */
    private static boolean canSpareHost(List<WorkHost> hosts, long now) {
        List<WorkHost> others = hosts.stream()
                .filter(host -> host.isolatedStart == null && host.canAcceptWork(now))
                .toList();
        HostCapacity total = HostCapacity.NONE;
        HostCapacity taken = HostCapacity.NONE;
        for (WorkHost host : others) {
            total = total.plus(host.entry.capacity());
            taken = taken.plus(host.entry.capacity()).minus(host.freeCapacity());
        }
        return others.size() > hosts.size() / HOSTS_FOR_EACH_OWN_HOST
                && taken.times(others.size()).times(2).isAtMost(total.times(others.size() - 1L));
    }

    private static boolean isBetter(WorkHost host, WorkHost other) {
        if (host.hasLongRunningRun() != other.hasLongRunningRun()) {
            return !host.hasLongRunningRun();
        }
        if (host.runs.size() != other.runs.size()) {
            return host.runs.size() < other.runs.size();
        }
        return host.identifier.compareTo(other.identifier) < 0;
    }

    /**
     * Returns whether a planned start can be ordered now: its host is ready, and the store has it, so that a successor
     * counts it if the host is lost with this leader.
     */
    boolean canOrder(IsolatedStart planned, long now) {
        if (planned.change == 0 && isReady(planned, now)) {
            planned.change = crashes.openIsolatedStart(planned.task, planned.host);
        }
        return planned.change > 0 && planned.task.step.job.storedChanges >= planned.change;
    }

    private static boolean isReady(IsolatedStart planned, long now) {
        boolean hasStartingRun = planned.host.runs.values().stream().anyMatch(WorkRun::isStarting);
        boolean isFree = planned.host.runs.isEmpty()
                || !planned.needsOwnHost
                || now - planned.reservedAt >= MAX_WAIT_MILLISECONDS;
        return isFree && !hasStartingRun;
    }

    /** The hosts among which a task that needs one of its own may choose. */
    private enum Candidates {
        /** None, as those in use are as many as the rest of the work can spare. */
        NONE,
        /**
         * Those without runs: as many as may be lost at a time are at risk, and no other work is lost with an idle one.
         */
        IDLE,
        /** All. */
        ALL
    }
}
