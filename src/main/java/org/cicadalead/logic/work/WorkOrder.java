package org.cicadalead.logic.work;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.WorkProgress;

/** What the scheduler wants done. Immutable. */
public sealed interface WorkOrder {
    /**
     * Starts a run.
     *
     * @param target the host
     * @param run the run
     * @param payload what to run
     * @param deadline end of the lease on the host's clock in milliseconds
     * @param checkpoint where to resume, empty for the beginning
     * @param ticket permission of the outside policy, where there is one
     */
    record Start(
            HostTarget target, RunKey run, String payload, long deadline, String checkpoint, Optional<String> ticket)
            implements WorkOrder {}

    /**
     * Stops a run, and keeps it from starting late.
     *
     * @param target the host
     * @param run the run
     */
    record Stop(HostTarget target, RunKey run) implements WorkOrder {}

    /**
     * Sets the speed of a run.
     *
     * @param target the host
     * @param run the run
     * @param percentage share of full speed
     */
    record Pace(HostTarget target, RunKey run, int percentage) implements WorkOrder {}

    /**
     * Writes progress to the store.
     *
     * @param batch number to confirm it by
     * @param records what to write
     */
    record Persist(long batch, List<WorkProgress> records) implements WorkOrder {}

    /**
     * Asks the outside policy which hosts may run a step.
     *
     * @param job the job
     * @param occurrence number of its occurrence
     * @param step number of the step
     * @param hosts identifiers of hosts
     */
    record AskAdvisor(String job, int occurrence, int step, List<String> hosts) implements WorkOrder {
        /** Returns the step in text form. */
        public String stepText() {
            return job + "." + occurrence + "." + step;
        }
    }

    /**
     * Removes jobs that ended long ago from the store.
     *
     * @param jobs identifiers of jobs
     */
    record RemoveJobs(List<String> jobs) implements WorkOrder {}

    /** Another process gives orders in a later term. */
    record StepDown() implements WorkOrder {}

    /**
     * Where an order goes.
     *
     * @param host identifier of the host that is meant
     * @param address where it listens
     */
    record HostTarget(String host, String address) {}
}
