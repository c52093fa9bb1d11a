package org.cicadalead.logic.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.CommandOutcome.Accepted;
import org.cicadalead.model.command.CommandOutcome.Rejected;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.job.JobLedger;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.StopReason;
import org.cicadalead.support.JobFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class JobFoldTest {
    private final JobFleet fleet = new JobFleet(4);

    @Test
    void returnsSameJobForRepeatedSubmission() {
        CommandOutcome first = fleet.submit(JobFleet.createSubmission(1, false));
        assertEquals(first, fleet.submit(JobFleet.createSubmission(1, false)));
        assertEquals(1, fleet.state().jobs().unfinished().size());
    }

    @Test
    void rejectsReusedIdentifierWithOtherContent() {
        fleet.submit(JobFleet.createSubmission(1, false));
        assertRejected(ErrorKind.KEY_REUSED, fleet.submit(JobFleet.createSubmission(1, true)));
    }

    @Test
    void rejectsJobAboveTeamQuotaUntilAnotherEnds() {
        for (int number = 0; number < JobFleet.QUOTA; number++) {
            fleet.submit(JobFleet.createSubmission(number, false));
        }
        assertRejected(ErrorKind.QUOTA_EXCEEDED, fleet.submit(JobFleet.createSubmission(100, false)));
        fleet.cancel(0);
        assertInstanceOf(Accepted.class, fleet.submit(JobFleet.createSubmission(100, false)));
    }

    @Test
    void rejectsJobThatFitsNoHostOfPool() {
        JobSize size = new JobSize(JobFleet.PROCESSORS + 1, 1, 0);
        CommandOutcome outcome = fleet.submit(JobFleet.createSubmission(1, "red", size, 3, false));
        assertRejected(ErrorKind.UNRUNNABLE_JOB, outcome);
        assertTrue(((Rejected) outcome).detail().contains("9.0 processors"));
    }

    @Test
    void acceptsOnlyFirstOfConcurrentPlacementsOfJob() {
        fleet.submit(JobFleet.createSubmission(1, false));
        JobState stale = fleet.jobState(1);
        fleet.place(1, 0);
        CommandOutcome later = fleet.applyAndReturnFirstOutcome(new JobCommand.Place(
                List.of(new JobCommand.Placement(JobFleet.job(1), stale.version(), JobFleet.host(1), 0))));
        assertRejected(ErrorKind.CONFLICT, later);
        assertEquals(JobFleet.host(0), fleet.jobState(1).host().orElseThrow());
    }

    @Test
    void acceptsOnlyFirstOfConcurrentPlacementsOnHost() {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.submit(JobFleet.createSubmission(2, false));
        long version = fleet.jobState(2).version();
        fleet.place(1, 0);
        CommandOutcome later = fleet.applyAndReturnFirstOutcome(
                new JobCommand.Place(List.of(new JobCommand.Placement(JobFleet.job(2), version, JobFleet.host(0), 0))));
        assertRejected(ErrorKind.CONFLICT, later);
    }

    @Test
    void rejectsPlacementOnLeavingHost() {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.observe(0, HostHealth.LEAVING);
        assertRejected(ErrorKind.CONFLICT, fleet.place(1, 0));
    }

    @ParameterizedTest
    @EnumSource(JobReportKind.class)
    void rejectsReportOfOldEpoch(JobReportKind kind) {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.place(1, 0);
        fleet.report(1, 1, JobReportKind.STOPPED);
        fleet.place(1, 1);
        JobState jobBeforeReport = fleet.jobState(1);
        assertRejected(ErrorKind.CONFLICT, fleet.report(1, 1, kind));
        assertEquals(jobBeforeReport, fleet.jobState(1));
    }

    @ParameterizedTest
    @EnumSource(JobReportKind.class)
    void neverChangesFinishedJob(JobReportKind kind) {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.place(1, 0);
        fleet.report(1, 1, JobReportKind.FINISHED);
        JobState finished = fleet.jobState(1);
        fleet.report(1, 1, kind);
        fleet.cancel(1);
        assertEquals(finished, fleet.jobState(1));
        assertEquals(JobPhase.FINISHED, finished.phase());
    }

    @Test
    void requeuesNonIdempotentJobOnlyAfterStopIsConfirmed() {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.place(1, 0);
        fleet.stop(1, 1, StopReason.LEASE_LAPSED);
        assertEquals(JobPhase.STOPPING, fleet.jobState(1).phase());
        assertRejected(ErrorKind.CONFLICT, fleet.place(1, 1));
        fleet.report(1, 1, JobReportKind.STOPPED);
        assertEquals(JobPhase.WAITING, fleet.jobState(1).phase());
    }

    @Test
    void requeuesIdempotentJobAtOnceWhenLeaseLapsed() {
        fleet.submit(JobFleet.createSubmission(1, true));
        fleet.place(1, 0);
        fleet.stop(1, 1, StopReason.LEASE_LAPSED);
        assertInstanceOf(Accepted.class, fleet.place(1, 1));
        assertEquals(2, fleet.jobState(1).epoch());
    }

    @Test
    void cancelsWaitingJobAtOnceAndRunningJobAfterStop() {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.submit(JobFleet.createSubmission(2, false));
        fleet.place(2, 0);
        fleet.cancel(1);
        fleet.cancel(2);
        assertEquals(JobPhase.CANCELLED, fleet.jobState(1).phase());
        assertEquals(JobPhase.STOPPING, fleet.jobState(2).phase());
        fleet.report(2, 1, JobReportKind.STOPPED);
        assertEquals(JobPhase.CANCELLED, fleet.jobState(2).phase());
    }

    @Test
    void countsJobOnHostUntilStopIsConfirmed() {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.place(1, 0);
        fleet.stop(1, 1, StopReason.HOST_LEAVING);
        assertEquals(1, fleet.state().jobs().countJobsOn(JobFleet.host(0)));
        fleet.report(1, 1, JobReportKind.STOPPED);
        assertEquals(0, fleet.state().jobs().countJobsOn(JobFleet.host(0)));
    }

    @Test
    void keepsCheckpointOfStoppedTask() {
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.place(1, 0);
        fleet.stop(1, 1, StopReason.HOST_LEAVING);
        fleet.report(1, 1, JobReportKind.STOPPED);
        assertEquals("detail", fleet.jobState(1).checkpoint().orElseThrow());
    }

    @Test
    void failsJobAfterFailuresOnSeveralHosts() {
        fleet.submit(JobFleet.createSubmission(1, false));
        for (int attempt = 1; attempt <= JobState.MAX_COUNTED_ATTEMPTS; attempt++) {
            fleet.place(1, attempt);
            fleet.report(1, attempt, JobReportKind.FAILED);
        }
        assertEquals(JobPhase.FAILED, fleet.jobState(1).phase());
        assertTrue(fleet.jobState(1).outcome().orElseThrow().contains("3 times"));
    }

    @Test
    void doesNotCountFailuresOnHostThatFailsEverything() {
        for (int job = 1; job <= 4; job++) {
            fleet.submit(JobFleet.createSubmission(job, false));
            fleet.place(job, 0);
            fleet.report(job, 1, JobReportKind.FAILED);
        }
        assertTrue(fleet.state().jobs().host(JobFleet.host(0)).failsEverything());
        assertEquals(1, fleet.jobState(1).countedAttempts());
        assertEquals(0, fleet.jobState(4).countedAttempts());
    }

    @Test
    void dropsOldestEndedJobsBeyondLimit() {
        JobLedger ledger = JobLedger.empty();
        for (int number = 0; number <= JobLedger.MAX_ENDED; number++) {
            JobState job = JobState.accepted(JobFleet.createSubmission(number, false), number);
            ledger = ledger.withAccepted(job).withChanged(job.withPhase(JobPhase.CANCELLED));
        }
        assertTrue(ledger.find(JobFleet.job(0)).isEmpty());
        assertTrue(ledger.find(JobFleet.job(JobLedger.MAX_ENDED)).isPresent());
        assertEquals(JobLedger.MAX_ENDED, ledger.ended().size());
        assertTrue(ledger.unfinishedByTeam().isEmpty());
    }

    private static void assertRejected(ErrorKind kind, CommandOutcome outcome) {
        assertEquals(kind, assertInstanceOf(Rejected.class, outcome).kind());
    }
}
