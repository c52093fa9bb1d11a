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

/**
 * Guards against lost, repeated or mixed-up requests and jobs when entry processes are killed, paused or stopped, or
 * when the platform is unavailable, while callers keep sending requests.
 */
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
    void setUp() {
        fleet = new CrashFleet(folder);
        callers = new CrashCallers(fleet);
        jobs = new CrashJobSubmitter(fleet);
    }

    @AfterEach
    void tearDown() {
        callers.close();
        fleet.close();
    }

    @Test
    void keepsGuaranteesWhenEntryProcessesAreKilled() throws Exception {
        List<ChildProcess> entries = fleet.startProcesses(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        for (int iteration = 0; iteration < 2; iteration++) {
            callers.awaitMoreResponses(MIN_RESPONSES);
            submitJobs("killed-" + iteration);
            entries.get(iteration).kill();
            callers.awaitMoreResponses(MIN_RESPONSES);
            fleet.removeFromBalancer(entries.get(iteration));
            fleet.startProcesses(iteration == 0 ? KINGSTON : MANDEVILLE);
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
        HttpResponse<String> response = jobs.submitOnce(entries.get(0).callerAddress(), "during", RUN_MILLISECONDS);
        assertNotEquals(202, response.statusCode(), response.body());
        boolean isOutcomeUnknown = !response.body().contains("\"not-run\"");
        callers.awaitMoreResponses(MIN_RESPONSES);
        fleet.setPlatformAvailable(true);
        submitJobs("after");
        if (isOutcomeUnknown) {
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
        Map<String, RequestOutcome> outcomes = callers.finish();
        assertEquals(
                0,
                outcomes.values().stream()
                        .filter(RequestOutcome.UNKNOWN::equals)
                        .count(),
                callers.summarizeOutcomes());
        verifyRequests(outcomes);
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

    /** Verifies the outcomes of requests, none of which is idempotent: each runs at most once. */
    private void verifyRequests(Map<String, RequestOutcome> outcomes) {
        assertTrue(outcomes.containsValue(RequestOutcome.ANSWERED));
        outcomes.forEach((request, outcome) -> {
            int runs = fleet.countRuns(request);
            assertTrue(runs <= 1, request + " ran " + runs + " times");
            assertNotEquals(RequestOutcome.WRONG_RESPONSE, outcome, request);
            assertTrue(outcome != RequestOutcome.ANSWERED || runs == 1, request + " was answered but did not run");
            assertTrue(outcome != RequestOutcome.NOT_RUN || runs == 0, request + " was rejected as not run but ran");
        });
    }

    private void verifyJobs() {
        assertEquals(
                jobs.acceptedLocations().size(),
                fleet.platform().tasks().executionCounts().size());
        fleet.platform().tasks().executionCounts().forEach((job, counts) -> {
            assertEquals(1, counts.finishes(), job + " finished");
            assertEquals(1, counts.maximumConcurrent(), job + " ran concurrently");
            assertEquals(0, counts.startsAfterFinish(), job + " started after it finished");
        });
    }
}
