package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobHostState;
import org.cicadalead.model.job.JobLedger;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.StopReason;
import org.cicadalead.model.state.SharedState;

/**
 * Folds commands on long jobs. Every entry names the state that it was based on: the version of a waiting job, or the
 * epoch of a placed one. An entry with an outdated version or epoch is rejected, so a job ends only once, even if
 * several processes plan concurrently or a paused process resumes late. Stateless; safe for use by several threads.
 */
public final class JobFold {
    private JobFold() {}

    /** Folds one command and returns the new state and the outcome of the whole command. */
    public static FoldResult apply(SharedState state, long offset, JobCommand command) {
        return fold(state, offset, command).summary(offset);
    }

    /** Folds one command and returns the outcome of each of its entries. */
    public static JobFoldResult fold(SharedState state, long offset, JobCommand command) {
        Folding folding = new Folding(state, offset);
        if (command instanceof JobCommand.Submit submit) {
            submit.submissions().forEach(folding::submit);
        } else if (command instanceof JobCommand.Cancel cancel) {
            cancel.jobs().forEach(folding::cancel);
        } else if (command instanceof JobCommand.Place place) {
            place.placements().forEach(folding::place);
        } else if (command instanceof JobCommand.RequestStop requestStop) {
            requestStop.stops().forEach(folding::stop);
        } else if (command instanceof JobCommand.Report report) {
            report.reports().forEach(folding::report);
        }
        return new JobFoldResult(state.withJobs(folding.jobs.withoutUndeclaredHosts(state.hosts())), folding.outcomes);
    }

    /** Folds the entries of one record. Not thread-safe. */
    private static final class Folding {
        private final SharedState stateBefore;
        private final long offset;
        private final List<CommandOutcome> outcomes = new ArrayList<>();
        private JobLedger jobs;

        Folding(SharedState before, long offset) {
            this.stateBefore = before;
            this.offset = offset;
            this.jobs = before.jobs();
        }

        void submit(JobSubmission submission) {
            Optional<JobState> existing = jobs.find(submission.job());
            if (existing.isPresent()) {
                resubmit(submission, existing.get());
                return;
            }
            TeamDefinition team = stateBefore.configuration().merged().teams().get(submission.team());
            if (team == null) {
                reject(ErrorKind.UNKNOWN_TEAM, "There is no team '" + submission.team() + "'");
                return;
            }
            Optional<String> infeasibility = JobFeasibility.explainInfeasibility(stateBefore, submission);
            if (infeasibility.isPresent()) {
                reject(ErrorKind.UNRUNNABLE_JOB, infeasibility.get());
                return;
            }
            if (jobs.countUnfinished(submission.team()) >= team.jobQuota()) {
                reject(
                        ErrorKind.QUOTA_EXCEEDED,
                        "The team '" + team.name() + "' has " + team.jobQuota()
                                + " unfinished jobs, as many as its quota allows");
                return;
            }
            if (jobs.unfinished().size() >= JobLedger.MAX_UNFINISHED) {
                reject(
                        ErrorKind.QUEUE_FULL,
                        "There are " + JobLedger.MAX_UNFINISHED + " unfinished jobs, as many as are kept");
                return;
            }
            jobs = jobs.withAccepted(JobState.accepted(submission, offset));
            accept();
        }

        private void resubmit(JobSubmission submission, JobState existing) {
            if (existing.submission().equals(submission)) {
                outcomes.add(new CommandOutcome.Accepted(existing.acceptedAt()));
                return;
            }
            reject(
                    ErrorKind.KEY_REUSED,
                    "The identifier '" + submission.job() + "' belongs to a job with other content");
        }

        void cancel(JobIdentifier identifier) {
            Optional<JobState> foundJob = jobs.find(identifier);
            if (foundJob.isEmpty()) {
                reject(ErrorKind.UNKNOWN_JOB, "There is no job '" + identifier + "'");
                return;
            }
            JobState job = foundJob.get();
            if (job.phase().isTerminal() && job.phase() != JobPhase.CANCELLED) {
                reject(ErrorKind.CONFLICT, "The job has already ended: " + job.phase());
                return;
            }
            if (!job.cancelRequested()) {
                JobState cancelled = job.withCancelRequested();
                updateJob(
                        job.phase() == JobPhase.WAITING
                                ? cancelled.withPhase(JobPhase.CANCELLED)
                                : cancelled.stopping(StopReason.CANCELLED));
            }
            accept();
        }

        void place(JobCommand.Placement placement) {
            JobState job = jobs.unfinished().get(placement.job());
            if (job == null || job.phase() != JobPhase.WAITING || job.version() != placement.jobVersion()) {
                reject(ErrorKind.CONFLICT, "The job has changed since the placement was decided");
                return;
            }
            HostState host = stateBefore.hosts().get(placement.host());
            if (host == null
                    || !host.isAvailable()
                    || !host.pool().equals(job.submission().pool())) {
                reject(ErrorKind.CONFLICT, "The host takes no jobs of the pool any more");
                return;
            }
            if (stateBefore.jobs().host(placement.host()).lastPlacement() != placement.lastPlacement()) {
                reject(ErrorKind.CONFLICT, "Another placement on the host came first");
                return;
            }
            updateJob(job.placedOn(placement.host()));
            updateHost(placement.host(), jobs.host(placement.host()).placedAt(offset));
            accept();
        }

        void stop(JobCommand.Stop stop) {
            JobState job = jobs.unfinished().get(stop.job());
            if (job == null || !job.phase().isOnHost() || job.epoch() != stop.epoch()) {
                rejectOldEpoch();
                return;
            }
            updateJob(canRestartUnconfirmed(job, stop.reason()) ? job.requeued() : job.stopping(stop.reason()));
            accept();
        }

        /**
         * Returns whether the job may be placed again before its task is confirmed as stopped. The task of an
         * idempotent job may keep running unobserved; its reports then carry an old epoch and are rejected.
         */
        private static boolean canRestartUnconfirmed(JobState job, StopReason reason) {
            return reason == StopReason.LEASE_LAPSED && job.submission().idempotent() && !job.cancelRequested();
        }

        void report(JobReport report) {
            JobState job = jobs.unfinished().get(report.job());
            if (job == null || !job.phase().isOnHost() || job.epoch() != report.epoch()) {
                rejectOldEpoch();
                return;
            }
            boolean failsEverything =
                    job.host().map(host -> jobs.host(host).failsEverything()).orElse(false);
            JobState changed = report.kind().applyTo(job, report.detail(), failsEverything);
            job.host().ifPresent(host -> updateFailureCount(host, report));
            if (!changed.equals(job)) {
                updateJob(changed);
            }
            accept();
        }

        private void updateFailureCount(HostName host, JobReport report) {
            JobHostState existing = jobs.host(host);
            if (report.kind() == JobReportKind.FAILED) {
                updateHost(host, existing.failed(report.job(), offset));
            } else if (report.kind() == JobReportKind.FINISHED && existing.consecutiveFailures() > 0) {
                updateHost(host, existing.succeeded());
            }
        }

        private void updateJob(JobState job) {
            jobs = jobs.withChanged(job.withVersion(offset));
        }

        private void updateHost(HostName host, JobHostState hostState) {
            jobs = jobs.withHost(host, hostState);
        }

        private void accept() {
            outcomes.add(new CommandOutcome.Accepted(offset));
        }

        private void reject(ErrorKind kind, String detail) {
            outcomes.add(new CommandOutcome.Rejected(kind, detail));
        }

        private void rejectOldEpoch() {
            reject(ErrorKind.CONFLICT, "The job is not on a host under this epoch any more");
        }
    }
}
