package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.StepSpecification;

/**
 * View of the scheduler's hosts through which machine decisions query and control the work on them. For use by the
 * scheduler's thread only.
 */
public final class MachineView {
    /** Time for which a cleared host gets no new work; covers the stops and the order for its machine. */
    private static final long CLEARED_PAUSE_MILLISECONDS = 2_000;

    private final WorkState state;
    private final TakeoverGate takeoverGate;
    private final BiConsumer<String, Boolean> onHostEnded;

    MachineView(WorkState state, TakeoverGate takeoverGate, BiConsumer<String, Boolean> onHostEnded) {
        this.state = state;
        this.takeoverGate = takeoverGate;
        this.onHostEnded = onHostEnded;
    }

    /** Sets whether a host is cordoned, so that it gets no new work. */
    public void setCordoned(String identifier, boolean cordoned) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.cordoned = cordoned;
        }
    }

    /**
     * Counts what must be complete before a host can leave: its short runs, and one if ends that it listed are not
     * stored.
     */
    public int countUnfinished(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        return host == null ? 0 : countShortRuns(host) + (host.hasStoredAllEnds() ? 0 : 1);
    }

    private static int countShortRuns(WorkHost host) {
        int count = 0;
        for (WorkRun run : host.runs.values()) {
            count += run.task.step.specification.longRunning() ? 0 : 1;
        }
        return count;
    }

    /** Counts the long-running runs on a host. */
    public int countLongRunning(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        return host == null ? 0 : host.runs.size() - countShortRuns(host);
    }

    /**
     * Stops the short runs of a host and gives it no new work for a while. A machine may go down only once its host has
     * no short run: an end that is reported while the host goes down would be lost, and its task would run again.
     */
    public void stopShortRuns(String identifier, StopCause cause, long now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null) {
            return;
        }
        host.keepClearedUntil(now + CLEARED_PAUSE_MILLISECONDS);
        for (WorkRun run : host.runs.values()) {
            if (run.state == WorkRun.State.RUNNING && !run.task.step.specification.longRunning()) {
                run.stop(cause, now);
            }
        }
    }

    /**
     * Returns whether taking a host down now keeps every step within its limit of unavailable tasks. A host that has
     * not replied in this term, or not recently, is kept, as its runs are unknown.
     */
    public boolean canTakeDown(String identifier, long now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null || !host.canReceiveLease(now)) {
            return identifier.isEmpty();
        }
        Set<WorkStep> steps = new HashSet<>();
        for (WorkRun run : host.runs.values()) {
            steps.add(run.task.step);
        }
        for (WorkStep step : steps) {
            StepSpecification specification = step.specification;
            int limit = specification.maximumUnavailable();
            if (limit > 0 && countUnavailableWithout(step, host, now) > limit) {
                return false;
            }
        }
        return true;
    }

    /**
     * Stops one long-running task on a host, within its step's limit of unavailable tasks, so that it restarts
     * elsewhere.
     */
    public void evacuateOneTask(String identifier, long now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null) {
            return;
        }
        for (WorkRun run : host.runs.values()) {
            WorkStep step = run.task.step;
            boolean isLongRunning = step.specification.longRunning();
            boolean isWithinLimit = step.specification.maximumUnavailable() == 0
                    || step.countUnavailable(now) + 1 <= step.specification.maximumUnavailable();
            if (isLongRunning
                    && isWithinLimit
                    && run.state == WorkRun.State.RUNNING
                    && hasCapacityElsewhere(run, now)) {
                run.stop(StopCause.MAINTENANCE, now);
                return;
            }
        }
    }

    private boolean hasCapacityElsewhere(WorkRun run, long now) {
        HostChoice choice = new HostChoice(state.findHosts(run.host.entry.service()), now);
        return choice.findHost(run.task, choice.hosts()) != null;
    }

    /** Sets whether an order that takes a host's machine away is in flight or may have been carried out. */
    public void setLeaving(String identifier, boolean leaving) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.leaving = leaving;
        }
    }

    private static int countUnavailableWithout(WorkStep step, WorkHost host, long now) {
        int count = step.taskCount();
        for (WorkTask task : step.keptTasks()) {
            boolean staysAvailable =
                    task.run != null && task.run.host != host && !task.run.host.leaving && task.run.isAvailable(now);
            count -= staysAvailable ? 1 : 0;
        }
        return count;
    }

    /**
     * Drops all runs of a host whose machine was listed as down by order, and unregisters the host. A host that has
     * replied since the list was requested may be a new process under the same identifier, and is left to a later list.
     *
     * @param requestedAt monotonic time in milliseconds when the list was requested
     */
    public void onHostDown(String identifier, long requestedAt) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null || !host.hasRepliedSince(requestedAt)) {
            onHostEnded.accept(identifier, true);
        }
    }

    /** Drops all runs of a host whose machine carries another host, and unregisters the host. */
    public void onHostReplaced(String identifier) {
        onHostEnded.accept(identifier, false);
    }

    /**
     * Updates the machines of hosts, and resolves hosts of earlier terms whose machines show that they have ended.
     *
     * @param machines the complete machine list, requested in this term
     */
    public void updateMachines(List<MachineEntry> machines) {
        takeoverGate.resolveEndedHosts(machines);
        for (MachineEntry machine : machines) {
            WorkHost host = state.hosts.get(machine.host());
            if (host != null) {
                host.machine = Optional.of(machine.machine());
            }
        }
    }
}
