package org.cicadalead.adapters.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.cicadalead.adapters.standin.PlatformStandIn;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.TaskPhase;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.ports.TaskPlatform.TaskStart;
import org.cicadalead.support.JobFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpTaskPlatformTest {
    private final PlatformStandIn standIn = new PlatformStandIn("127.0.0.1", 0);
    private final HttpTaskPlatform platform = new HttpTaskPlatform(standIn.address());

    @AfterEach
    void stop() {
        standIn.close();
    }

    @Test
    void startsATaskOnceHoweverOftenItIsAsked() {
        platform.start(start(1));
        platform.start(start(1));
        assertEquals(1, starts());
    }

    @Test
    void takesALostReplyForAnUnknownOutcome() {
        standIn.tasks().loseReplies(1);
        assertEquals(ErrorKind.OUTCOME_UNKNOWN, failureOf(() -> platform.start(start(1))));
        assertEquals(1, starts());
    }

    @Test
    void takesARefusalForNoEffect() {
        standIn.tasks().setAvailable(false);
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, failureOf(() -> platform.start(start(1))));
    }

    @Test
    void takesAFailureToConnectForNoEffect() {
        standIn.close();
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, failureOf(() -> platform.start(start(1))));
    }

    @Test
    void neverStartsATaskThatWasStoppedBeforeItsStart() {
        platform.stop(start(1).task(), false);
        platform.start(start(1));
        List<TaskStatus> tasks = platform.listChanges(0, 10).tasks();
        assertEquals(
                List.of(TaskPhase.STOPPED),
                tasks.stream().map(TaskStatus::phase).toList());
    }

    @Test
    void listsOnlyWhatChangedAfterARevision() {
        platform.start(start(1));
        long revision = platform.listChanges(0, 10).revision();
        assertEquals(List.of(), platform.listChanges(revision, 10).tasks());
        platform.throttle(start(1).task(), true);
        assertEquals(1, platform.listChanges(revision, 10).tasks().size());
    }

    private int starts() {
        return standIn.tasks().accounts().get(JobFleet.job(1)).starts();
    }

    private static ErrorKind failureOf(Runnable call) {
        return assertThrows(CicadaleadException.class, call::run).kind();
    }

    private static TaskStart start(int epoch) {
        JobSubmission submission = new JobSubmission(
                JobFleet.job(1),
                JobFleet.submission(1, false).team(),
                JobFleet.POOL,
                JobFleet.submission(1, false).size(),
                JobSubmission.DEFAULT_URGENCY,
                false,
                "run-milliseconds=600000");
        return new TaskStart(new TaskReference(JobFleet.job(1), epoch), JobFleet.host(0), submission, "");
    }
}
