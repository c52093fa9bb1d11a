package org.cicadalead.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cicadalead.crash.CrashCallers.RequestOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("crash")
class EntryCrashTest {
    private static final int MIN_RESPONSES = 150;
    private static final int RUN_MILLISECONDS = 300;
    private static final String KINGSTON = "kingston";
    private static final String MANDEVILLE = "mandeville";
    private static final String MONTEGO_BAY = "montego-bay";

    @TempDir
    private Path folder;

    private CrashFleet fleet;
    private CrashCallers callers;
    private CrashJobSubmitter jobs;

    @BeforeEach
    void prepare() {
        fleet = new CrashFleet(folder);
        callers = new CrashCallers(fleet);
        jobs = new CrashJobSubmitter(fleet);
    }

    @AfterEach
    void end() {
        callers.close();
        fleet.close();
    }

    @Test
    void keepsGuaranteesWhenEntryProcessesAreKilled() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        for (int round = 0; round < 2; round++) {
            callers.awaitMoreResponses(MIN_RESPONSES);
            submitJobs("killed-" + round);
            entries.get(round).kill();
            callers.awaitMoreResponses(MIN_RESPONSES);
            fleet.removeFromBalancer(entries.get(round));
            fleet.startProcesses(round == 0 ? KINGSTON : MANDEVILLE);
        }
        callers.awaitMoreResponses(MIN_RESPONSES);
        verifyJobsAndRequests();
    }

    @Test
    void keepsGuaranteesWhenEntryProcessesArePaused() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreResponses(MIN_RESPONSES);
        for (ChildProcess entry : entries) {
            submitJobs("paused-" + entries.indexOf(entry));
            entry.pause();
            fleet.removeFromBalancer(entry);
            callers.awaitMoreResponses(MIN_RESPONSES);
            submitJobs("while-paused-" + entries.indexOf(entry));
            entry.resume();
            fleet.balancedAddresses().add(entry.callerAddress());
        }
        callers.awaitMoreResponses(MIN_RESPONSES);
        verifyJobsAndRequests();
    }

    @Test
    void servesRequestsAndKeepsJobsDuringPlatformOutage() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MONTEGO_BAY);
        submitJobs("before");
        fleet.setPlatformAvailable(false);
        callers.awaitMoreResponses(MIN_RESPONSES);
        HttpResponse<String> refused = jobs.submitOnce(entries.get(0).callerAddress(), "during", RUN_MILLISECONDS);
        assertNotEquals(202, refused.statusCode(), refused.body());
        boolean mayBeAccepted = !refused.body().contains("\"not-run\"");
        callers.awaitMoreResponses(MIN_RESPONSES);
        fleet.setPlatformAvailable(true);
        submitJobs("after");
        if (mayBeAccepted) {
            jobs.submit("during", RUN_MILLISECONDS);
        }
        verifyJobsAndRequests();
    }

    @Test
    void finishesJobsAfterAllEntryProcessesAreReplaced() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        submitJobs("replaced");
        for (ChildProcess entry : entries) {
            fleet.removeFromBalancer(entry);
            entry.kill();
        }
        fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreResponses(MIN_RESPONSES);
        verifyJobsAndRequests();
    }

    @Test
    void servesRequestsAfterOneZoneIsLost() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreResponses(MIN_RESPONSES);
        for (ChildProcess entry : entries) {
            fleet.removeFromBalancer(entry);
            entry.kill();
        }
        fleet.startProcesses(MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreResponses(MIN_RESPONSES);
        verifyRequests(callers.finish());
    }

    @Test
    void completesRequestsOnGracefulStop() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreResponses(MIN_RESPONSES);
        fleet.removeFromBalancer(entries.get(0));
        assertEquals(0, entries.get(0).stopGracefully());
        callers.awaitMoreResponses(MIN_RESPONSES);
        Map<String, RequestOutcome> told = callers.finish();
        assertEquals(
                0, told.values().stream().filter(RequestOutcome.UNKNOWN::equals).count(), callers.summary());
        verifyRequests(told);
    }

    private void submitJobs(String name) throws InterruptedException {
        for (int number = 0; number < 4; number++) {
            jobs.submit(name + "-" + number, RUN_MILLISECONDS);
        }
    }

    private void verifyJobsAndRequests() throws InterruptedException {
        jobs.awaitAllFinished();
        verifyRequests(callers.finish());
        verifyJobs();
    }

    /** None of the requests is idempotent. */
    private void verifyRequests(Map<String, RequestOutcome> told) {
        assertTrue(told.containsValue(RequestOutcome.ANSWERED));
        told.forEach((request, answer) -> {
            int runs = fleet.countRuns(request);
            assertTrue(runs <= 1, request + " ran " + runs + " times");
            assertNotEquals(RequestOutcome.WRONG_RESPONSE, answer, request);
            assertTrue(answer != RequestOutcome.ANSWERED || runs == 1, request + " was answered and did not run");
            assertTrue(answer != RequestOutcome.NOT_RUN || runs == 0, request + " was refused as not run and ran");
        });
    }

    private void verifyJobs() {
        assertEquals(
                jobs.acceptedLocations().size(),
                fleet.platform().tasks().executionCounts().size());
        fleet.platform().tasks().executionCounts().forEach((job, account) -> {
            assertEquals(1, account.finishes(), job + " finished");
            assertEquals(1, account.maximumConcurrent(), job + " at once");
            assertEquals(0, account.startsAfterFinish(), job + " started after its end");
        });
    }
}
