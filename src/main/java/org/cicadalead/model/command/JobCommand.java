package org.cicadalead.model.command;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.StopReason;

/**
 * Commands of long jobs. Each handles many jobs in one record, so that a burst of changes costs few appends. An entry
 * whose job has changed in the meantime is skipped without affecting the others. Implementations are immutable.
 */
public sealed interface JobCommand extends Command {
    /** Maximum number of entries of one record. */
    int MAX_ENTRIES = 500;

    /**
     * Submits long jobs.
     *
     * @param submissions the jobs
     */
    record Submit(List<JobSubmission> submissions) implements JobCommand {
        /** Copies the list. */
        public Submit {
            submissions = List.copyOf(submissions);
        }
    }

    /**
     * Asks for jobs to be cancelled.
     *
     * @param jobs the jobs
     */
    record Cancel(List<JobIdentifier> jobs) implements JobCommand {
        /** Copies the list. */
        public Cancel {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * Places waiting jobs on hosts, each under the next epoch of its job.
     *
     * @param placements the placements
     */
    record Place(List<Placement> placements) implements JobCommand {
        /** Copies the list. */
        public Place {
            placements = List.copyOf(placements);
        }
    }

    /**
     * Placement of one job.
     *
     * @param job the job
     * @param jobVersion version of the job that the writer had read
     * @param host the host
     * @param lastPlacement offset of the newest placement on the host that the writer had read
     */
    record Placement(JobIdentifier job, long jobVersion, HostName host, long lastPlacement) {}

    /**
     * Records that tasks are to be stopped, before the platform is asked to stop them.
     *
     * @param stops the stops
     */
    record RequestStop(List<Stop> stops) implements JobCommand {
        /** Copies the list. */
        public RequestStop {
            stops = List.copyOf(stops);
        }
    }

    /**
     * Stop of one placement of a job.
     *
     * @param job the job
     * @param epoch epoch of the placement that is to end
     * @param reason why it is stopped
     */
    record Stop(JobIdentifier job, int epoch, StopReason reason) {}

    /**
     * Records what the platform reported about tasks.
     *
     * @param reports the reports
     */
    record Report(List<JobReport> reports) implements JobCommand {
        /** Copies the list. */
        public Report {
            reports = List.copyOf(reports);
        }
    }
}
