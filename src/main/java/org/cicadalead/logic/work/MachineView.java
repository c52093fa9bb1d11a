package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.Set;
import org.cicadalead.model.work.StepSpecification;

/** What decisions on machines need to know of the work on them. For use by the scheduler's thread. */
public final class MachineView {
    private final WorkState state;
    private final RunLedger ledger;

    MachineView(WorkState state, RunLedger ledger) {
        this.state = state;
        this.ledger = ledger;
    }

    /** Stops or resumes giving new work to a host. */
    public void cordon(String identifier, boolean cordoned) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.cordoned = cordoned;
        }
    }

    /** Counts runs on a host that end by themselves. */
    public int shortRuns(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        int count = 0;
        if (host != null) {
            for (WorkRun run : host.runs.values()) {
                count += run.task.step.specification.longRunning() ? 0 : 1;
            }
        }
        return count;
    }

    /** Counts runs on a host that last. */
    public int lastingRuns(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        return host == null ? 0 : host.runs.size() - shortRuns(identifier);
    }

    /** Tells whether every step with a promise of availability can spare its tasks on a host now. */
    public boolean canSpare(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null) {
            return true;
        }
        Set<WorkStep> steps = new HashSet<>();
        for (WorkRun run : host.runs.values()) {
            steps.add(run.task.step);
        }
        for (WorkStep step : steps) {
            StepSpecification specification = step.specification;
            int limit = specification.maximumUnavailable();
            if (limit > 0 && countAwayWithout(step, host) > limit) {
                return false;
            }
        }
        return true;
    }

    /** Tells whether an order to send a host's machine away is on its way or may have been carried out. */
    public void leaving(String identifier, boolean leaving) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.leaving = leaving;
        }
    }

    private static int countAwayWithout(WorkStep step, WorkHost host) {
        int count = 0;
        for (WorkTask task : step.tasks) {
            boolean staysAtWork =
                    task.run != null && task.run.host != host && !task.run.host.leaving && task.run.isAtWork();
            count += staysAtWork ? 0 : 1;
        }
        return count;
    }

    /** All that ran on a host has ended, as its machine goes down by order. */
    public void ended(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.dropAll(host);
            host.registered = false;
        }
    }
}
