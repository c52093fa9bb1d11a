package org.cicadalead.model.command;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.StopReason;

/**
 * Commands of long jobs. Each takes many jobs in one record, so that a wave costs few appends; an entry that finds its
 * job changed is left out without hindering the others. Implementations are immutable.
 */
public sealed interface JobCommand extends Command {
    /** Most entries of one record. */
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
     * One placement.
     *
     * @param job the job
     * @param jobVersion version of the job that was read
     * @param host the host
     * @param lastPlacement offset of the newest placement on the host that was read
     */
    record Placement(JobIdentifier job, long jobVersion, HostName host, long lastPlacement) {}

    /**
     * Marks tasks as asked to stop, before they are.
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
     * One stop.
     *
     * @param job the job
     * @param epoch the placement that is to end
     * @param reason why
     */
    record Stop(JobIdentifier job, int epoch, StopReason reason) {}

    /**
     * What the platform reported of tasks.
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
