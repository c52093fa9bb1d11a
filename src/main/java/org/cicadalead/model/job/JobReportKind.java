package org.cicadalead.model.job;

import java.util.Optional;

/** Kinds of changes of a task that the platform reports, and their effect on the job. */
public enum JobReportKind {
    /** The task runs. */
    STARTED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.phase() == JobPhase.PLACED ? job.withPhase(JobPhase.RUNNING) : job;
        }
    },
    /** The task wrote a checkpoint; the detail names it. */
    CHECKPOINTED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return detail.isPresent() ? job.withCheckpoint(detail) : job;
        }
    },
    /** The task was throttled in favour of more urgent jobs. */
    THROTTLED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.withThrottled(true);
        }
    },
    /** The task is no longer throttled. */
    UNTHROTTLED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.withThrottled(false);
        }
    },
    /** The task has stopped before it finished and never runs again; the detail names its last checkpoint. */
    STOPPED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            JobState stopped = detail.isPresent() ? job.withCheckpoint(detail) : job;
            return stopped.cancelRequested() ? stopped.withPhase(JobPhase.CANCELLED) : stopped.requeued();
        }
    },
    /** The task finished; the detail is its result. */
    FINISHED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.withOutcome(JobPhase.FINISHED, detail.orElse(""));
        }
    },
    /** The task failed; the detail is the reason. */
    FAILED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            JobState failed = job.withFailedAttempt(detail.orElse(NO_REASON), !hostFailsEverything);
            if (failed.cancelRequested()) {
                return failed.withPhase(JobPhase.CANCELLED);
            }
            return failed.hasAttemptsLeft()
                    ? failed.requeued()
                    : failed.withOutcome(
                            JobPhase.FAILED,
                            "Failed " + failed.failedAttempts() + " times, the last time with: "
                                    + detail.orElse(NO_REASON));
        }
    };

    private static final String NO_REASON = "no reason given";

    /**
     * Returns the job after the report. The caller must have checked the epoch and that the job is on a host. A failure
     * on a host on which every job fails is not counted against the job.
     */
    public abstract JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything);
}
