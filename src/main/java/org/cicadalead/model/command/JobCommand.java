package org.cicadalead.model.command;

import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;

/** Commands of long jobs. Implementations are immutable. */
public sealed interface JobCommand extends Command {
    /**
     * Submits a long job.
     *
     * @param job the job's identifier
     * @param team the team that owns it
     * @param pool the pool that it runs on
     * @param processors declared processor cores
     * @param memoryGigabytes declared memory in gigabytes
     * @param accelerators declared accelerators
     * @param idempotent whether it may be run again without the platform's word that an earlier run has stopped
     * @param payload what the worker is to run
     */
    record Submit(
            JobIdentifier job,
            TeamName team,
            PoolName pool,
            int processors,
            int memoryGigabytes,
            int accelerators,
            boolean idempotent,
            String payload)
            implements JobCommand {}

    /**
     * Asks for a job to be cancelled.
     *
     * @param job the job's identifier
     */
    record Cancel(JobIdentifier job) implements JobCommand {}
}
