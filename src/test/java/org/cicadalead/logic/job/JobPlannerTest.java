package org.cicadalead.logic.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.StopReason;
import org.cicadalead.model.job.TaskActionKind;
import org.cicadalead.model.job.TaskPhase;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.model.job.TaskTable;
import org.cicadalead.support.JobFleet;
import org.junit.jupiter.api.Test;

class JobPlannerTest {
    private static final JobSize WHOLE_HOST = new JobSize(JobFleet.PROCESSORS, JobFleet.MEMORY_GIGABYTES, 0);
    private static final JobSize HALF_HOST = new JobSize(4, 16, 0);
    private static final long AFTER_ALL_BACKOFFS = Long.MAX_VALUE / 4;

    private UsageHistory usage = UsageHistory.empty();
    private TaskTable tasks = TaskTable.empty();

    @Test
    void placesMostUrgentJobFirst() {
        JobFleet fleet = new JobFleet(1);
        fleet.submit(JobFleet.createSubmission(1, "red", WHOLE_HOST, 5, false));
        fleet.submit(JobFleet.createSubmission(2, "red", WHOLE_HOST, 2, false));
        assertEquals(List.of(JobFleet.job(2)), placedJobs(fleet));
    }

    @Test
    void sharesCapacityByTeamWeights() {
        JobFleet fleet = new JobFleet(4);
        for (int number = 0; number < 8; number++) {
            fleet.submit(JobFleet.createSubmission(number, "red", HALF_HOST, 3, false));
            fleet.submit(JobFleet.createSubmission(100 + number, "blue", HALF_HOST, 3, false));
        }
        long blueJobs = placedJobs(fleet).stream()
                .filter(job -> job.value().startsWith("job-10"))
                .count();
        assertEquals(6, blueJobs);
    }

    @Test
    void reservesHostForLargeJob() {
        JobFleet fleet = new JobFleet(1);
        fleet.submit(JobFleet.createSubmission(0, "red", HALF_HOST, 3, false));
        fleet.place(0, 0);
        fleet.submit(JobFleet.createSubmission(1, "red", WHOLE_HOST, 3, false));
        fleet.submit(JobFleet.createSubmission(2, "red", HALF_HOST, 3, false));
        assertEquals(List.of(), placedJobs(fleet));
    }

    @Test
    void skipsJobWhoseOnlyHostsAreDown() {
        JobFleet fleet = new JobFleet(2, 1);
        fleet.submit(JobFleet.createSubmission(1, "red", WHOLE_HOST, 3, false));
        fleet.submit(JobFleet.createSubmission(2, "red", new JobSize(2, 8, 0), 3, false));
        fleet.observe(0, HostHealth.DOWN);
        assertEquals(List.of(JobFleet.job(2)), placedJobs(fleet));
    }

    @Test
    void preemptsLeastUrgentJobForUrgentJob() {
        JobFleet fleet = new JobFleet(1);
        fleet.submit(JobFleet.createSubmission(1, "red", WHOLE_HOST, 7, false));
        fleet.place(1, 0);
        fleet.report(1, 1, JobReportKind.STARTED);
        fleet.submit(JobFleet.createSubmission(2, "blue", HALF_HOST, 0, false));
        assertEquals(
                List.of(new JobCommand.Stop(JobFleet.job(1), 1, StopReason.PREEMPTED)),
                plan(fleet, AFTER_ALL_BACKOFFS).stops());
    }

    @Test
    void preemptsNoFurtherJobWhileAnotherStops() {
        JobFleet fleet = new JobFleet(2);
        for (int number = 0; number < 2; number++) {
            fleet.submit(JobFleet.createSubmission(number, "red", WHOLE_HOST, 7, false));
            fleet.place(number, number);
            fleet.report(number, 1, JobReportKind.STARTED);
        }
        fleet.submit(JobFleet.createSubmission(2, "blue", HALF_HOST, 0, false));
        fleet.stop(0, 1, StopReason.PREEMPTED);
        assertEquals(List.of(), plan(fleet, AFTER_ALL_BACKOFFS).stops());
    }

    @Test
    void placesNoJobOnHostDuringBackoff() {
        JobFleet fleet = new JobFleet(1);
        fleet.submit(JobFleet.createSubmission(1, false));
        fleet.place(1, 0);
        fleet.report(1, 1, JobReportKind.FAILED);
        fleet.submit(JobFleet.createSubmission(2, false));
        HostBackoff backoff = HostBackoff.empty().observe(fleet.state().jobs(), 0);
        long delayNanoseconds = HostBackoff.FIRST_DELAY.toNanos();
        assertTrue(plan(fleet, backoff, delayNanoseconds - 1).placements().isEmpty());
        assertFalse(plan(fleet, backoff, delayNanoseconds).placements().isEmpty());
    }

    @Test
    void placesSingleProbeOnHostThatFailsEverything() {
        JobFleet fleet = new JobFleet(3);
        failEverythingOn(fleet, 0);
        for (int number = 20; number < 50; number++) {
            fleet.submit(JobFleet.createSubmission(number, "blue", new JobSize(1, 1, 0), 3, false));
        }
        JobPlan plan = plan(fleet, AFTER_ALL_BACKOFFS);
        assertEquals(List.of(JobFleet.host(0)), plan.excludedHosts());
        assertEquals(1, placementsOn(plan, JobFleet.host(0)));
    }

    @Test
    void excludesAtMostHalfOfPool() {
        JobFleet fleet = new JobFleet(3);
        for (int host = 0; host < 3; host++) {
            failEverythingOn(fleet, host);
        }
        assertEquals(1, plan(fleet, AFTER_ALL_BACKOFFS).excludedHosts().size());
    }

    @Test
    void retriesJobOnAnotherHost() {
        JobFleet fleet = new JobFleet(2);
        fleet.submit(JobFleet.createSubmission(1, "red", WHOLE_HOST, 3, false));
        fleet.place(1, 0);
        fleet.report(1, 1, JobReportKind.FAILED);
        assertEquals(
                JobFleet.host(1),
                plan(fleet, AFTER_ALL_BACKOFFS).placements().get(0).host());
    }

    @Test
    void placesJobsByEstimatedUsage() {
        JobFleet fleet = new JobFleet(1);
        for (int sample = 0; sample < 8; sample++) {
            usage = usage.withSample(JobFleet.createSubmission(0, "red", WHOLE_HOST, 3, false), new JobSize(4, 8, 0));
        }
        fleet.submit(JobFleet.createSubmission(1, "red", WHOLE_HOST, 3, false));
        fleet.submit(JobFleet.createSubmission(2, "red", WHOLE_HOST, 3, false));
        assertEquals(2, placedJobs(fleet).size());
    }

    @Test
    void accountsForUsageAboveDeclaredSize() {
        JobFleet fleet = new JobFleet(1);
        fleet.submit(JobFleet.createSubmission(1, "red", HALF_HOST, 3, false));
        fleet.place(1, 0);
        reportUsage(1, new JobSize(4, 30, 0));
        fleet.submit(JobFleet.createSubmission(2, "red", HALF_HOST, 3, false));
        assertEquals(List.of(), placedJobs(fleet));
    }

    @Test
    void throttlesLeastUrgentTaskWhenProcessorsAreOvercommitted() {
        JobFleet fleet = new JobFleet(1);
        for (int number = 1; number <= 2; number++) {
            fleet.submit(JobFleet.createSubmission(number, "red", HALF_HOST, 2 + number, false));
            fleet.place(number, 0);
            fleet.report(number, 1, JobReportKind.STARTED);
            reportUsage(number, new JobSize(6, 4, 0));
        }
        var action = plan(fleet, AFTER_ALL_BACKOFFS).actions().get(0);
        assertEquals(TaskActionKind.THROTTLE, action.kind());
        assertEquals(JobFleet.job(2), action.task().job());
    }

    private void reportUsage(int job, JobSize used) {
        tasks = tasks.with(List.of(new TaskStatus(
                new TaskReference(JobFleet.job(job), 1),
                Optional.of(JobFleet.host(0)),
                TaskPhase.RUNNING,
                false,
                used,
                Optional.empty(),
                Optional.empty())));
    }

    private static void failEverythingOn(JobFleet fleet, int host) {
        for (int job = 0; job < 3; job++) {
            int number = 1_000 + host * 10 + job;
            fleet.submit(JobFleet.createSubmission(number, false));
            fleet.place(number, host);
            fleet.report(number, 1, JobReportKind.FAILED);
            fleet.cancel(number);
        }
    }

    private static long placementsOn(JobPlan plan, HostName host) {
        return plan.placements().stream()
                .filter(placement -> placement.host().equals(host))
                .count();
    }

    private List<JobIdentifier> placedJobs(JobFleet fleet) {
        return plan(fleet, AFTER_ALL_BACKOFFS).placements().stream()
                .map(JobCommand.Placement::job)
                .toList();
    }

    private JobPlan plan(JobFleet fleet, long now) {
        return plan(fleet, HostBackoff.empty(), now);
    }

    private JobPlan plan(JobFleet fleet, HostBackoff backoff, long now) {
        return JobPlanner.plan(new JobPlanningInput(fleet.state(), tasks, usage, backoff, now));
    }
}
