package org.cicadalead.adapters.replica;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.team;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.ports.PlatformLog.LogRecord;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CommandAppenderTest {
    private final FaultyLog log = new FaultyLog();
    private final ManualTimerService timers = new ManualTimerService();
    private final SharedStateReplica replica = new SharedStateReplica();
    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();
    private final AtomicInteger identifiers = new AtomicInteger();
    private final CommandAppender appender = new CommandAppender(
            log.createClient(() -> false),
            codec,
            new ProcessIdentifier("writer"),
            replica,
            timers,
            Runnable::run,
            new CommandAppender.RandomSources(() -> 0.5, () -> "command-" + identifiers.incrementAndGet()),
            () -> {});

    @BeforeEach
    void fillBudget() {
        timers.advance(Duration.ofSeconds(1));
    }

    @Test
    void completesWithOutcomeReadBackFromLog() {
        CompletableFuture<CommandOutcome> outcome = appender.submit(createPublication());
        assertFalse(outcome.isDone());
        foldAll();
        assertEquals(new CommandOutcome.Accepted(1), outcome.getNow(new CommandOutcome.Duplicate()));
    }

    @Test
    void completesRetriedAppendWithOutcomeOfFirstCopy() {
        log.loseReplies(1);
        CompletableFuture<CommandOutcome> outcome = appender.submit(createPublication());
        timers.advance(Duration.ofSeconds(1));
        assertEquals(2, log.endOffset());
        foldAll();
        assertEquals(new CommandOutcome.Accepted(1), outcome.getNow(new CommandOutcome.Duplicate()));
    }

    @Test
    void reportsOutageAsNotAppendedAndAppendsNothingLater() {
        log.setOutage(true);
        CompletableFuture<CommandOutcome> outcome = appender.submit(createPublication());
        timers.advance(Duration.ofSeconds(2));
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, failureKind(outcome));
        log.setOutage(false);
        timers.advance(Duration.ofMinutes(1));
        assertEquals(0, log.endOffset());
    }

    @Test
    void reportsUnknownOutcomeWhenLostReplyIsNeverReadBack() {
        log.loseReplies(1);
        CompletableFuture<CommandOutcome> outcome = appender.submit(createPublication());
        log.setOutage(true);
        timers.advance(CommandAppender.OUTCOME_TIMEOUT);
        assertEquals(ErrorKind.LOG_OUTCOME_UNKNOWN, failureKind(outcome));
    }

    @Test
    void sendsUrgentCommandsBeforePlannedOnes() {
        for (int index = 0; index < 300; index++) {
            appender.submit(createPublication());
        }
        long pendingCount = 300 - log.endOffset();
        assertTrue(pendingCount > 0);
        appender.submit(new FleetCommand.Observe(List.of()));
        timers.advance(Duration.ofMillis(20));
        boolean hasObservation = log.allRecords().stream()
                .map(record -> codec.decode(record.payload()).orElseThrow().command())
                .anyMatch(FleetCommand.Observe.class::isInstance);
        assertTrue(hasObservation);
        assertTrue(log.endOffset() < 300);
    }

    @Test
    void limitsPendingCommandsDuringLongOutage() {
        log.setOutage(true);
        CompletableFuture<CommandOutcome> last = appender.submit(createPublication());
        for (int index = 0; index < 20_000; index++) {
            last = appender.submit(createPublication());
        }
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, failureKind(last));
        timers.advance(CommandAppender.OUTCOME_TIMEOUT);
        log.setOutage(false);
        appender.submit(createPublication());
        timers.advance(Duration.ofSeconds(1));
        assertEquals(1, log.endOffset());
    }

    private static Command createPublication() {
        return publish(change(team("kitchens.toml", 1), 0));
    }

    private void foldAll() {
        for (LogRecord record : log.allRecords()) {
            replica.apply(record.offset(), codec.decode(record.payload()));
        }
    }

    private static ErrorKind failureKind(CompletableFuture<CommandOutcome> outcome) {
        assertTrue(outcome.isDone());
        CompletionException failure = assertThrows(CompletionException.class, outcome::join);
        return assertInstanceOf(CicadaleadException.class, failure.getCause()).kind();
    }
}
