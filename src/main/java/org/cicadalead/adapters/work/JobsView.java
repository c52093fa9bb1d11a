package org.cicadalead.adapters.work;

import java.util.Optional;
import org.cicadalead.adapters.work.JobRequestService.JobAnswer;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.WorkPhase;

/**
 * The leader's view of jobs. It reports that a job does not exist, and how many jobs wait, only while it has read new
 * jobs recently. Immutable; for use on the scheduling thread.
 *
 * @param scheduler the scheduler
 * @param current whether new jobs have been read recently
 */
record JobsView(WorkScheduler scheduler, boolean current) {
    JobAnswer findPhase(String job, JobAccess access) {
        Optional<WorkPhase> phase = scheduler.findPhase(job, access);
        return phase.isPresent() || current ? new JobAnswer(true, phase) : JobAnswer.UNAVAILABLE;
    }

    /** Returns whether the scheduler has read a job from the store. */
    boolean isStored(String job) {
        return scheduler.findPhase(job).isPresent();
    }

    long weighOpenJobs() {
        return scheduler.weighOpenJobs();
    }

    Optional<Integer> waitingCount(String queue) {
        return current ? Optional.of(scheduler.countWaitingJobs(queue)) : Optional.empty();
    }
}
