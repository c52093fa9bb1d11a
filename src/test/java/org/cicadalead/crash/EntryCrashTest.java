package org.cicadalead.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cicadalead.crash.CrashCallers.Told;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("crash")
class EntryCrashTest {
    private static final int SOME_ANSWERS = 150;
    private static final int RUN_MILLISECONDS = 300;
    private static final String KINGSTON = "kingston";
    private static final String MANDEVILLE = "mandeville";
    private static final String MONTEGO_BAY = "montego-bay";

    @TempDir
    private Path folder;

    private CrashFleet fleet;
    private CrashCallers callers;
    private CrashJobs jobs;

    @BeforeEach
    void prepare() {
        fleet = new CrashFleet(folder);
        callers = new CrashCallers(fleet);
        jobs = new CrashJobs(fleet);
    }

    @AfterEach
    void end() {
        callers.close();
        fleet.close();
    }

    @Test
    void killedEntryProcessesLoseNoPromise() throws Exception {
        List<ChildProcess> entries = fleet.start(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        for (int round = 0; round < 2; round++) {
            callers.awaitMoreAnswers(SOME_ANSWERS);
            submitJobs("killed-" + round);
            entries.get(round).kill();
            callers.awaitMoreAnswers(SOME_ANSWERS);
            fleet.remove(entries.get(round));
            fleet.start(round == 0 ? KINGSTON : MANDEVILLE);
        }
        callers.awaitMoreAnswers(SOME_ANSWERS);
        judge();
    }

    @Test
    void aPausedEntryProcessLosesNoPromise() throws Exception {
        List<ChildProcess> entries = fleet.start(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreAnswers(SOME_ANSWERS);
        for (ChildProcess entry : entries) {
            submitJobs("paused-" + entries.indexOf(entry));
            entry.pause();
            fleet.remove(entry);
            callers.awaitMoreAnswers(SOME_ANSWERS);
            submitJobs("while-paused-" + entries.indexOf(entry));
            entry.resume();
            fleet.balanced().add(entry.callers());
        }
        callers.awaitMoreAnswers(SOME_ANSWERS);
        judge();
    }

    @Test
    void anOutageOfThePlatformStopsNoRequestAndLosesNoJob() throws Exception {
        List<ChildProcess> entries = fleet.start(KINGSTON, MONTEGO_BAY);
        submitJobs("before");
        fleet.setPlatformAvailable(false);
        callers.awaitMoreAnswers(SOME_ANSWERS);
        HttpResponse<String> refused = jobs.submitOnce(entries.get(0).callers(), "during", RUN_MILLISECONDS);
        assertNotEquals(202, refused.statusCode(), refused.body());
        boolean mayBeAccepted = !refused.body().contains("\"not-run\"");
        callers.awaitMoreAnswers(SOME_ANSWERS);
        fleet.setPlatformAvailable(true);
        submitJobs("after");
        if (mayBeAccepted) {
            jobs.submit("during", RUN_MILLISECONDS);
        }
        judge();
    }

    @Test
    void jobsGoOnAfterAllEntryProcessesWereReplacedAtOnce() throws Exception {
        List<ChildProcess> entries = fleet.start(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        submitJobs("replaced");
        for (ChildProcess entry : entries) {
            fleet.remove(entry);
            entry.kill();
        }
        fleet.start(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreAnswers(SOME_ANSWERS);
        judge();
    }

    @Test
    void otherZonesGoOnAfterOneZoneWasLostAndAnotherProcessReplaced() throws Exception {
        List<ChildProcess> entries = fleet.start(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreAnswers(SOME_ANSWERS);
        for (ChildProcess entry : entries) {
            fleet.remove(entry);
            entry.kill();
        }
        fleet.start(MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreAnswers(SOME_ANSWERS);
        judgeRequests(callers.finish());
    }

    @Test
    void aGracefulStopCutsOffNoRequest() throws Exception {
        List<ChildProcess> entries = fleet.start(KINGSTON, MANDEVILLE, MONTEGO_BAY);
        callers.awaitMoreAnswers(SOME_ANSWERS);
        fleet.remove(entries.get(0));
        assertEquals(0, entries.get(0).stopGracefully());
        callers.awaitMoreAnswers(SOME_ANSWERS);
        Map<String, Told> told = callers.finish();
        assertEquals(0, told.values().stream().filter(Told.UNKNOWN::equals).count(), callers.summary());
        judgeRequests(told);
    }

    private void submitJobs(String name) throws InterruptedException {
        for (int number = 0; number < 4; number++) {
            jobs.submit(name + "-" + number, RUN_MILLISECONDS);
        }
    }

    private void judge() throws InterruptedException {
        jobs.awaitAllFinished();
        judgeRequests(callers.finish());
        judgeJobs();
    }

    /** None of the requests is idempotent. */
    private void judgeRequests(Map<String, Told> told) {
        assertTrue(told.containsValue(Told.ANSWERED));
        told.forEach((request, answer) -> {
            int runs = fleet.runs(request);
            assertTrue(runs <= 1, request + " ran " + runs + " times");
            assertNotEquals(Told.WRONG_ANSWER, answer, request);
            assertTrue(answer != Told.ANSWERED || runs == 1, request + " was answered and did not run");
            assertTrue(answer != Told.NOT_RUN || runs == 0, request + " was refused as not run and ran");
        });
    }

    private void judgeJobs() {
        assertEquals(
                jobs.accepted().size(),
                fleet.platform().tasks().executionCounts().size());
        fleet.platform().tasks().executionCounts().forEach((job, account) -> {
            assertEquals(1, account.finishes(), job + " finished");
            assertEquals(1, account.maximumConcurrent(), job + " at once");
            assertEquals(0, account.startsAfterFinish(), job + " started after its end");
        });
    }
}
