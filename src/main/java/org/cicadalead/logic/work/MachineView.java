package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.Set;
import org.cicadalead.model.work.StepSpecification;

/** What decisions on machines need to know of the work on them. For use by the scheduler's thread. */
public final class MachineView {
    /** Time for which a host that was cleared gets nothing: the stops, and the order for its machine. */
    private static final long CLEARED_PAUSE_MILLISECONDS = 2_000;

    private final WorkState state;
    private final RunLedger ledger;

    MachineView(WorkState state, RunLedger ledger) {
        this.state = state;
        this.ledger = ledger;
    }

    /** Stops or resumes giving new work to a host. */
    public void setCordoned(String identifier, boolean cordoned) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.cordoned = cordoned;
        }
    }

    /** Counts what has to end by itself before a host can go: short runs, and the storing of ends that it listed. */
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

    /** Counts runs on a host that last. */
    public int countLongRunning(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        return host == null ? 0 : host.runs.size() - countShortRuns(host);
    }

    /**
     * Stops what ends by itself on a host, and gives it nothing new for a while. A machine goes only once its host runs
     * no such task: an end that the host reports while it goes down would be lost, and its task would run again.
     */
    public void stopShortRuns(String identifier, long now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null) {
            return;
        }
        host.excludeUntil(now + CLEARED_PAUSE_MILLISECONDS);
        for (WorkRun run : host.runs.values()) {
            if (run.state == WorkRun.State.RUNNING && !run.task.step.specification.longRunning()) {
                run.transitionTo(WorkRun.State.STOPPING, now);
            }
        }
    }

    /**
     * Tells whether every step with a promise of availability can spare its tasks on a host now. A host that has not
     * answered in this term, or not lately, may run anything.
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
            if (limit > 0 && countUnavailableWithout(step, host) > limit) {
                return false;
            }
        }
        return true;
    }

    /** Stops one lasting task on a host that its step can spare, so that it starts again elsewhere. */
    public void evacuateOneTask(String identifier, long now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null) {
            return;
        }
        for (WorkRun run : host.runs.values()) {
            WorkStep step = run.task.step;
            boolean lasting = step.specification.longRunning();
            boolean spared = step.specification.maximumUnavailable() == 0
                    || step.countUnavailable() + 1 <= step.specification.maximumUnavailable();
            if (lasting && spared && run.state == WorkRun.State.RUNNING && hasCapacityElsewhere(run, now)) {
                run.transitionTo(WorkRun.State.STOPPING, now);
                return;
            }
        }
    }

    private boolean hasCapacityElsewhere(WorkRun run, long now) {
        HostChoice choice = new HostChoice(state.findHosts(run.host.entry.service()), now);
        return choice.findHost(run.task, choice.hosts()) != null;
    }

    /** Tells whether an order to send a host's machine away is on its way or may have been carried out. */
    public void setLeaving(String identifier, boolean leaving) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.leaving = leaving;
        }
    }

    private static int countUnavailableWithout(WorkStep step, WorkHost host) {
        int count = 0;
        for (WorkTask task : step.tasks) {
            boolean staysAtWork =
                    task.run != null && task.run.host != host && !task.run.host.leaving && task.run.isAvailable();
            count += staysAtWork ? 0 : 1;
        }
        return count;
    }

    /** All that ran on a host has ended, as its machine goes down by order. */
    public void onHostDown(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.dropAll(host);
            host.registered = false;
        }
    }
}
