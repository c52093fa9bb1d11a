package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.CommandCodec;
import org.cicadalead.ports.PlatformLog;

/**
 * Appends commands and learns their outcome by reading them back. An append whose reply was lost is appended again with
 * the same identifier; the fold drops the second copy. Safe for use by several threads.
 */
public final class CommandAppender implements AutoCloseable {
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final PlatformLog log;
    private final CommandCodec codec;
    private final ProcessIdentifier process;
    private final SharedStateReplica replica;
    private final Map<CommandIdentifier, CompletableFuture<CommandOutcome>> pending = new ConcurrentHashMap<>();
    private final ExecutorService threads = HttpServers.daemonThreads("command-appender");

    /** Creates an appender that reads outcomes back from the replica. */
    public CommandAppender(PlatformLog log, CommandCodec codec, ProcessIdentifier process, SharedStateReplica replica) {
        this.log = log;
        this.codec = codec;
        this.process = process;
        this.replica = replica;
        replica.addListener(this::onFolded);
    }

    /**
     * Appends a command; the result completes with the fold's outcome, or exceptionally with kind
     * {@code PLATFORM_UNAVAILABLE} when nothing was appended, or {@code LOG_OUTCOME_UNKNOWN}.
     */
    public CompletableFuture<CommandOutcome> submit(Command command) {
        CommandIdentifier identifier = new CommandIdentifier(UUID.randomUUID().toString());
        CompletableFuture<CommandOutcome> outcome = new CompletableFuture<>();
        pending.put(identifier, outcome);
        outcome.whenComplete((value, failure) -> pending.remove(identifier));
        byte[] payload = codec.encode(new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                identifier,
                process,
                replica.state().offset(),
                command));
        threads.execute(() -> append(payload, outcome));
        return outcome;
    }

    /** Appends a command and waits for its outcome; throws as {@link #submit} completes exceptionally. */
    public CommandOutcome submitAndWait(Command command) {
        try {
            return submit(command).get(OUTCOME_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (java.util.concurrent.ExecutionException failure) {
            throw failure.getCause() instanceof CicadaleadException known
                    ? known
                    : new CicadaleadException(ErrorKind.INTERNAL, "The append failed", failure);
        } catch (java.util.concurrent.TimeoutException timeout) {
            throw new CicadaleadException(
                    ErrorKind.LOG_OUTCOME_UNKNOWN, "The command was not read back in time; look at the state", timeout);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.LOG_OUTCOME_UNKNOWN, "Interrupted", interrupted);
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    private void append(byte[] payload, CompletableFuture<CommandOutcome> outcome) {
        boolean mayBeAppended = false;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && !outcome.isDone(); attempt++) {
            try {
                log.append(payload);
                return;
            } catch (CicadaleadException failure) {
                mayBeAppended |= failure.kind() != ErrorKind.PLATFORM_UNAVAILABLE;
            }
        }
        ErrorKind kind = mayBeAppended ? ErrorKind.LOG_OUTCOME_UNKNOWN : ErrorKind.PLATFORM_UNAVAILABLE;
        outcome.completeExceptionally(
                new CicadaleadException(kind, "The platform log does not answer; try again when it has returned"));
    }

    private void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isEmpty() || outcome instanceof CommandOutcome.Duplicate) {
            return;
        }
        CompletableFuture<CommandOutcome> waiting = pending.get(envelope.get().identifier());
        if (waiting != null) {
            waiting.complete(outcome);
        }
    }
}
