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
    void startsTaskOnceWhenStartIsRepeated() {
        platform.start(createStart(1));
        platform.start(createStart(1));
        assertEquals(1, startCount());
    }

    @Test
    void reportsUnknownOutcomeWhenReplyIsLost() {
        standIn.tasks().loseReplies(1);
        assertEquals(ErrorKind.OUTCOME_UNKNOWN, errorKindOf(() -> platform.start(createStart(1))));
        assertEquals(1, startCount());
    }

    @Test
    void reportsRefusalAsPlatformUnavailable() {
        standIn.tasks().setAvailable(false);
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, errorKindOf(() -> platform.start(createStart(1))));
    }

    @Test
    void reportsConnectFailureAsPlatformUnavailable() {
        standIn.close();
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, errorKindOf(() -> platform.start(createStart(1))));
    }

    @Test
    void neverStartsTaskStoppedBeforeItsStart() {
        platform.stop(createStart(1).task(), false);
        platform.start(createStart(1));
        List<TaskStatus> tasks = platform.listChanges(0, 10).tasks();
        assertEquals(
                List.of(TaskPhase.STOPPED),
                tasks.stream().map(TaskStatus::phase).toList());
    }

    @Test
    void listsOnlyTasksChangedAfterRevision() {
        platform.start(createStart(1));
        long revision = platform.listChanges(0, 10).revision();
        assertEquals(List.of(), platform.listChanges(revision, 10).tasks());
        platform.throttle(createStart(1).task(), true);
        assertEquals(1, platform.listChanges(revision, 10).tasks().size());
    }

    private int startCount() {
        return standIn.tasks().executionCounts().get(JobFleet.job(1)).starts();
    }

    private static ErrorKind errorKindOf(Runnable call) {
        return assertThrows(CicadaleadException.class, call::run).kind();
    }

    private static TaskStart createStart(int epoch) {
        JobSubmission submission = new JobSubmission(
                JobFleet.job(1),
                JobFleet.createSubmission(1, false).team(),
                JobFleet.POOL,
                JobFleet.createSubmission(1, false).size(),
                JobSubmission.DEFAULT_URGENCY,
                false,
                "run-milliseconds=600000");
        return new TaskStart(new TaskReference(JobFleet.job(1), epoch), JobFleet.host(0), submission, "");
    }
}
