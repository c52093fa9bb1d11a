package org.cicadalead.model.job;

import java.util.Optional;

/** What the platform reported of a task, and what that makes of its job. */
public enum JobReportKind {
    /** The task runs. */
    STARTED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.phase() == JobPhase.PLACED ? job.withPhase(JobPhase.RUNNING) : job;
        }
    },
    /** The task wrote a checkpoint, which the detail names. */
    CHECKPOINTED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return detail.isPresent() ? job.withCheckpoint(detail) : job;
        }
    },
    /** The task was slowed down to make room for more urgent work. */
    THROTTLED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.withThrottled(true);
        }
    },
    /** The task runs at full speed again. */
    UNTHROTTLED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            return job.withThrottled(false);
        }
    },
    /** The task has stopped before its end, and never runs again; the detail names its last checkpoint. */
    STOPPED {
        @Override
        public JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything) {
            JobState stopped = detail.isPresent() ? job.withCheckpoint(detail) : job;
            return stopped.cancelRequested() ? stopped.withPhase(JobPhase.CANCELLED) : stopped.requeued();
        }
    },
    /** The task came to its end; the detail is its result. */
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
     * Returns the job after the report; the caller has checked the epoch and that the job is on a host. A failure on a
     * host that fails everything is not held against the job.
     */
    public abstract JobState applyTo(JobState job, Optional<String> detail, boolean hostFailsEverything);
}
