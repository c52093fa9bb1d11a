package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.TaskKey;
import org.cicadalead.model.work.WorkSubmission;

/**
 * Checks a simulated fleet against the true state of its hosts, which no term knows.
 *
 * <p>Safety: a task has one run at a time, starts after its dependencies and not after its end is acknowledged or its
 * attempts are used up, and a job is completed only with all its tasks.
 */
final class FleetOracle {

    private static final int MAXIMUM_ATTEMPTS = 3;

    /** Broken promises of safety. */
    final List<String> violations = new ArrayList<>();

    private final SimulatedFleet fleet;
    private final Set<TaskKey> acknowledgedDone = new HashSet<>();
    private final Map<TaskKey, Set<RunKey>> finishedRuns = new HashMap<>();
    private final Map<TaskKey, Integer> acknowledgedFailures = new HashMap<>();

    FleetOracle(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Records an acknowledged end, which is final from now on. */
    void onAcknowledged(EndedRun end) {
        TaskKey task = end.run().task();
        if (end.ending() == RunEnding.DONE) {
            acknowledgedDone.add(task);
        } else if (end.ending() == RunEnding.FAILED) {
            acknowledgedFailures.merge(task, 1, Integer::sum);
        }
    }

    void onFinished(RunKey run) {
        finishedRuns.computeIfAbsent(run.task(), key -> new HashSet<>()).add(run);
    }

    void checkStart(RunKey run, SimulatedHost startHost) {
        TaskKey task = run.task();
        for (SimulatedHost host : fleet.hosts()) {
            for (RunKey other : host.running()) {
                if (other.task().equals(task) && !other.equals(run)) {
                    report(run + " starts on " + startHost + " while " + other + " runs on " + host);
                }
            }
        }
        if (acknowledgedDone.contains(task)) {
            report(run + " starts although the end of its task is acknowledged");
        }
        for (int requiredStep : fleet.specificationOf(task).dependsOn()) {
            int count =
                    fleet.submissions.get(task.job()).steps().get(requiredStep).taskCount();
            for (int index = 0; index < count; index++) {
                TaskKey dependency = new TaskKey(task.job(), 0, requiredStep, index);
                if (!hasFinished(dependency)) {
                    report(run + " starts before its dependency " + dependency + " is done");
                }
            }
        }
        if (acknowledgedFailures.getOrDefault(task, 0) >= MAXIMUM_ATTEMPTS) {
            report(run + " starts although its task has used up its attempts");
        }
    }

    private boolean hasFinished(TaskKey task) {
        return acknowledgedDone.contains(task) || finishedRuns.containsKey(task);
    }

    void checkCompletion(String job) {
        WorkSubmission submission = fleet.submissions.get(job);
        for (int step = 0; step < submission.steps().size(); step++) {
            for (int index = 0; index < submission.steps().get(step).taskCount(); index++) {
                TaskKey task = new TaskKey(job, 0, step, index);
                if (!hasFinished(task)) {
                    report(job + " is completed without " + task);
                }
            }
        }
    }

    private void report(String violation) {
        violations.add(fleet.now() + ": " + violation);
    }
}
