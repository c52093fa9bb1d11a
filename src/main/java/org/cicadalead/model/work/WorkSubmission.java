package org.cicadalead.model.work;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A job as it was accepted. Immutable.
 *
 * @param job identifier that the caller chose
 * @param queue name of the queue
 * @param service the service whose hosts run it
 * @param terms terms of the queue when the job was accepted
 * @param payload payload that is passed to the hosts
 * @param steps steps of the job
 * @param repetitions number of scheduled repetitions, 0 for a job that runs once, immediately
 * @param firstStartMilliseconds wall clock time of the first repetition in milliseconds
 * @param intervalMilliseconds time between repetitions in milliseconds
 * @param acceptedMilliseconds wall clock time in milliseconds when it was first received
 * @param account name of the account that submitted it; empty for a job of a public queue
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
        long acceptedMilliseconds,
        Optional<String> account) {
    /** Copies the list; throws if a part is missing or a step depends on one that is not before it. */
    public WorkSubmission {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        for (int number = 0; number < steps.size(); number++) {
            for (int dependency : steps.get(number).dependsOn()) {
                Objects.checkIndex(dependency, number);
            }
        }
    }

    /** Creates a job of a public queue. */
    public WorkSubmission(
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
        this(
                job,
                queue,
                service,
                terms,
                payload,
                steps,
                repetitions,
                firstStartMilliseconds,
                intervalMilliseconds,
                acceptedMilliseconds,
                Optional.empty());
    }

    /** Creates what is known of a stored job whose record cannot be read. */
    public static WorkSubmission createUnreadable(String job) {
        QueueTerms noTerms = new QueueTerms(0, 1, 1, 0, Optional.empty());
        return new WorkSubmission(job, "", "", noTerms, "", List.of(), 0, 0, 0, 0);
    }

    /** Returns whether another record of the job differs from this one in the time of acceptance at most. */
    public boolean isSameApartFromAcceptance(WorkSubmission other) {
        return equals(new WorkSubmission(
                other.job,
                other.queue,
                other.service,
                other.terms,
                other.payload,
                other.steps,
                other.repetitions,
                other.firstStartMilliseconds,
                other.intervalMilliseconds,
                acceptedMilliseconds,
                other.account));
    }

    /** Returns the job without its steps, payload and schedule. */
    public WorkSubmission withoutSteps() {
        return new WorkSubmission(job, queue, service, terms, "", List.of(), 0, 0, 0, acceptedMilliseconds, account);
    }

    /** Returns the total number of times that the steps run. */
    public int occurrences() {
        return Math.max(1, repetitions);
    }

    /** Returns whether the job runs on a schedule. */
    public boolean isScheduled() {
        return repetitions > 0;
    }

    /** Returns the wall clock time in milliseconds when an occurrence may start. */
    public long dueMilliseconds(int occurrence) {
        return isScheduled() ? firstStartMilliseconds + occurrence * intervalMilliseconds : 0;
    }
}
