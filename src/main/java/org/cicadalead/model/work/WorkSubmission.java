package org.cicadalead.model.work;

import java.util.List;

/**
 * A job as it was accepted. Immutable.
 *
 * @param job identifier that its caller chose
 * @param queue name of the queue
 * @param service the service whose hosts run it
 * @param terms what the queue promised when it was accepted
 * @param payload what the hosts are told to run
 * @param steps steps of the job
 * @param repetitions how many times it runs on a schedule, 0 for a job that runs once at once
 * @param firstStartMilliseconds wall clock time of the first repetition
 * @param intervalMilliseconds time between repetitions
 * @param acceptedMilliseconds wall clock time when it was first received
 */
public record WorkSubmission(
        String job,
        String queue,
        String service,
        QueueTerms terms,
        String payload,
        List<StepSpecification> steps,
        int repetitions,
        long firstStartMilliseconds,
        long intervalMilliseconds,
        long acceptedMilliseconds) {
    /** Copies the list. */
    public WorkSubmission {
        steps = List.copyOf(steps);
    }

    /** Returns how many times the steps run in all. */
    public int occurrences() {
        return Math.max(1, repetitions);
    }

    /** Tells whether it runs at set times. */
    public boolean isScheduled() {
        return repetitions > 0;
    }

    /** Returns the wall clock time when an occurrence may start. */
    public long dueMilliseconds(int occurrence) {
        return isScheduled() ? firstStartMilliseconds + occurrence * intervalMilliseconds : 0;
    }
}
