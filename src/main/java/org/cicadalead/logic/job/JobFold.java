package org.cicadalead.logic.job;

import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.JobPhase;
import org.cicadalead.model.state.JobState;
import org.cicadalead.model.state.SharedState;

/** Folds submissions and cancellations of long jobs. Stateless; safe for use by several threads. */
public final class JobFold {
    private JobFold() {}

    /** Folds one command. */
    public static FoldResult apply(SharedState state, long offset, JobCommand command) {
        if (command instanceof JobCommand.Submit submit) {
            return submit(state, offset, submit);
        }
        return cancel(state, offset, (JobCommand.Cancel) command);
    }

    private static FoldResult submit(SharedState state, long offset, JobCommand.Submit submit) {
        if (state.jobs().containsKey(submit.job())) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "A job of this identifier was submitted before");
        }
        JobState job = new JobState(submit, offset, JobPhase.WAITING);
        return FoldResult.accepted(state.withJobs(state.jobs().plus(submit.job(), job)), offset);
    }

    private static FoldResult cancel(SharedState state, long offset, JobCommand.Cancel cancel) {
        JobState job = state.jobs().get(cancel.job());
        if (job == null) {
            return FoldResult.rejected(state, ErrorKind.UNKNOWN_JOB, "There is no job '" + cancel.job() + "'");
        }
        if (job.phase() != JobPhase.WAITING) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The job is " + job.phase());
        }
        JobState cancelled = new JobState(job.submission(), offset, JobPhase.CANCELLED);
        return FoldResult.accepted(state.withJobs(state.jobs().plus(cancel.job(), cancelled)), offset);
    }
}
