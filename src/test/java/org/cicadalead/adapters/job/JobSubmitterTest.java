package org.cicadalead.adapters.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.CommandOutcome.Accepted;
import org.cicadalead.model.command.CommandOutcome.Rejected;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.support.Commands;
import org.cicadalead.support.JobFleet;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JobSubmitterTest {
    private static final int CANCELLATIONS = 2_000;
    private static final Duration LONGER_THAN_OUTCOME_TIMEOUT = Duration.ofMinutes(1);

    private final ManualTimerService timers = new ManualTimerService();
    private final SharedStateReplica replica = new SharedStateReplica();
    private final JobSubmitter submitter = new JobSubmitter(replica::state, this::append, timers);
    private final List<Command> appended = new ArrayList<>();
    private CompletableFuture<CommandOutcome> appendResult = new CompletableFuture<>();
    private boolean isReadBack = true;

    @BeforeEach
    void configure() {
        replica.addListener(submitter);
        fold(JobFleet.createConfiguration(2, 2));
    }

    @Test
    void completesSubmissionOnlyAfterRecordIsReadBack() {
        isReadBack = false;
        CompletableFuture<CommandOutcome> result = submitter.submit(JobFleet.createSubmission(1, false));
        timers.advance(JobSubmitter.BATCH_DELAY);
        assertEquals(1, appended.size());
        assertFalse(result.isDone());
        fold(appended.get(0));
        assertInstanceOf(Accepted.class, result.join());
    }

    @Test
    void batchesManyCancellationsIntoOneRecord() {
        List<CompletableFuture<CommandOutcome>> results = new ArrayList<>();
        for (int number = 0; number < JobFleet.QUOTA; number++) {
            submitter.submit(JobFleet.createSubmission(number, false));
        }
        timers.advance(JobSubmitter.BATCH_DELAY);
        appended.clear();
        for (int number = 0; number < CANCELLATIONS; number++) {
            results.add(submitter.cancel(JobFleet.job(number % JobFleet.QUOTA)));
        }
        timers.advance(JobSubmitter.BATCH_DELAY);
        assertEquals(1, appended.size());
        results.forEach(result -> assertInstanceOf(Accepted.class, result.join()));
    }

    @Test
    void limitsEntriesPerRecord() {
        isReadBack = false;
        for (int number = 0; number < JobCommand.MAX_ENTRIES + 1; number++) {
            submitter.submit(JobFleet.createSubmission(number, false));
        }
        timers.advance(JobSubmitter.BATCH_DELAY);
        assertEquals(2, appended.size());
    }

    @Test
    void completesEachSubmissionOfBatchWithItsOwnOutcome() {
        List<CompletableFuture<CommandOutcome>> results = new ArrayList<>();
        for (int number = 0; number <= JobFleet.QUOTA; number++) {
            results.add(submitter.submit(JobFleet.createSubmission(number, false)));
        }
        timers.advance(JobSubmitter.BATCH_DELAY);
        assertInstanceOf(Accepted.class, results.get(0).join());
        Rejected rejected =
                assertInstanceOf(Rejected.class, results.get(JobFleet.QUOTA).join());
        assertEquals(ErrorKind.QUOTA_EXCEEDED, rejected.kind());
    }

    @Test
    void rejectsUnrunnableJobWithoutAppend() {
        var submission = JobFleet.createSubmission(1, "red", new JobSize(JobFleet.PROCESSORS + 1, 1, 0), 3, false);
        assertInstanceOf(Rejected.class, submitter.submit(submission).join());
        timers.advance(LONGER_THAN_OUTCOME_TIMEOUT);
        assertTrue(appended.isEmpty());
    }

    @Test
    void failsAsUnavailableWhenAppendIsRejected() {
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, failureAfter(ErrorKind.PLATFORM_UNAVAILABLE));
    }

    @Test
    void failsAsOutcomeUnknownWhenReplyIsLost() {
        assertEquals(ErrorKind.LOG_OUTCOME_UNKNOWN, failureAfter(ErrorKind.LOG_OUTCOME_UNKNOWN));
    }

    @Test
    void failsAsOutcomeUnknownWhenRecordIsNotReadBackInTime() {
        isReadBack = false;
        CompletableFuture<CommandOutcome> result = submitter.submit(JobFleet.createSubmission(1, false));
        timers.advance(LONGER_THAN_OUTCOME_TIMEOUT);
        assertEquals(ErrorKind.LOG_OUTCOME_UNKNOWN, failureOf(result));
    }

    private ErrorKind failureAfter(ErrorKind kind) {
        isReadBack = false;
        appendResult = CompletableFuture.failedFuture(new CicadaleadException(kind, "test"));
        CompletableFuture<CommandOutcome> result = submitter.submit(JobFleet.createSubmission(1, false));
        timers.advance(JobSubmitter.BATCH_DELAY);
        return failureOf(result);
    }

    private static ErrorKind failureOf(CompletableFuture<CommandOutcome> result) {
        CompletionException failure = assertThrows(CompletionException.class, result::join);
        return assertInstanceOf(CicadaleadException.class, failure.getCause()).kind();
    }

    private CompletableFuture<CommandOutcome> append(Command command) {
        appended.add(command);
        if (isReadBack) {
            fold(command);
        }
        return appendResult;
    }

    private void fold(Command command) {
        long offset = replica.state().offset() + 1;
        replica.apply(offset, Commands.envelope("command-" + offset, offset - 1, command));
    }
}
