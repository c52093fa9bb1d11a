package org.cicadalead.adapters.work;

import java.util.Optional;
import org.cicadalead.adapters.work.JobDesk.JobAnswer;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.model.work.WorkPhase;

/**
 * What the scheduling process may say of jobs. It says that a job does not exist, and how many wait, only while it
 * reads new jobs. Immutable; for use on the scheduling thread.
 *
 * @param scheduler the scheduler
 * @param current whether new jobs were read a short while ago
 */
record JobsView(WorkScheduler scheduler, boolean current) {
    JobAnswer phaseOf(String job) {
        Optional<WorkPhase> phase = scheduler.phaseOf(job);
        return phase.isPresent() || current ? new JobAnswer(true, phase) : JobAnswer.UNAVAILABLE;
    }

    Optional<Integer> waitingCount(String queue) {
        return current ? Optional.of(scheduler.countWaitingJobs(queue)) : Optional.empty();
    }
}
