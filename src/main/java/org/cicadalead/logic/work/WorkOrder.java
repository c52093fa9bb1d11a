package org.cicadalead.logic.work;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.WorkProgress;

/** An action that the scheduler decided on, for the caller to carry out. Immutable. */
public sealed interface WorkOrder {
    /**
     * Starts a run on a host.
     *
     * @param target the host
     * @param run the run
     * @param payload payload of the job, passed to the host
     * @param deadline expiry of the lease in milliseconds of the host's clock
     * @param checkpoint checkpoint to resume from, empty to start from the beginning
     * @param ticket permission of the external policy, empty when the queue has no such policy
     * @param previousEnd by what evidence the task's last run counts as ended, for the log; empty without one
     */
    record Start(
            HostTarget target,
            RunKey run,
            String payload,
            long deadline,
            String checkpoint,
            Optional<String> ticket,
            Optional<String> previousEnd)
            implements WorkOrder {}

    /**
     * Stops a run. A start order that arrives after it is rejected by the host.
     *
     * @param target the host
     * @param run the run
     * @param cause why it is stopped
     */
    record Stop(HostTarget target, RunKey run, StopCause cause) implements WorkOrder {}

    /**
     * Sets the speed of a run.
     *
     * @param target the host
     * @param run the run
     * @param percentage speed in percent of full speed
     */
    record Pace(HostTarget target, RunKey run, int percentage) implements WorkOrder {}

    /**
     * Writes a batch of progress records to the store.
     *
     * @param batch number of the batch, repeated in its confirmation
     * @param records the records to write
     */
    record Persist(long batch, List<WorkProgress> records) implements WorkOrder {}

    /**
     * Asks the external policy which hosts may run a step.
     *
     * @param job the job
     * @param occurrence number of its occurrence
     * @param step number of the step
     * @param hosts identifiers of the hosts to ask about
     */
    record AskAdvisor(String job, int occurrence, int step, List<String> hosts) implements WorkOrder {
        /** Returns the step in text form. */
        public String stepText() {
            return job + "." + occurrence + "." + step;
        }
    }

    /**
     * Removes jobs from the store whose retention time has passed.
     *
     * @param jobs identifiers of the jobs
     */
    record RemoveJobs(List<String> jobs) implements WorkOrder {}

    /** Makes this process step down, because another process leads in a later term. */
    record StepDown() implements WorkOrder {}

    /**
     * The destination of an order.
     *
     * @param host identifier of the host
     * @param address network address of the host
     */
    record HostTarget(String host, String address) {}
}
