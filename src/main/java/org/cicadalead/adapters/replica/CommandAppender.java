package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.logic.append.AppendBudget;
import org.cicadalead.logic.append.AppendClass;
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
import org.cicadalead.ports.TimerService;

/**
 * Appends commands within this process's share of the append budget, the most urgent class first, and obtains their
 * outcome by reading them back from the log. An append whose reply was lost is retried with the same identifier after a
 * jittered delay; the fold drops the duplicate. The number of pending commands and the time that they wait are limited.
 * Safe for use by several threads.
 */
public final class CommandAppender implements AutoCloseable {
    /** Time after which a command that has not been read back ends with an unknown outcome. */
    public static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);

    /** Additional time that a waiting caller allows for the timeout of the command itself to take effect. */
    private static final Duration OUTCOME_GRACE_PERIOD = Duration.ofSeconds(1);

    private static final int MAX_PENDING_COMMANDS = 10_000;
    private static final int MAX_CONCURRENT_SENDS = 8;
    /** Number of attempts after which a command that was certainly not appended ends as not appended. */
    private static final int MAX_ATTEMPTS_NOT_APPENDED = 3;

    private static final long INITIAL_BACKOFF_MILLISECONDS = 100;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final PlatformLog log;
    private final CommandCodec codec;
    private final ProcessIdentifier process;
    private final SharedStateReplica replica;
    private final TimerService timers;
    private final Executor executor;
    private final DoubleSupplier jitter;
    private final Supplier<String> identifierSupplier;
    private final Runnable onClose;
    private final Map<CommandIdentifier, PendingAppend> pending = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private final PriorityQueue<PendingAppend> queue = new PriorityQueue<>();
    private AppendBudget budget;
    private int sendsInFlight;
    private boolean wakeUpScheduled;

    /** Creates an appender that obtains outcomes from the replica. */
    public CommandAppender(
            PlatformLog log,
            CommandCodec codec,
            ProcessIdentifier process,
            SharedStateReplica replica,
            TimerService timers) {
        this(log, codec, process, replica, timers, HttpServers.createDaemonExecutor("command-appender"));
    }

    private CommandAppender(
            PlatformLog log,
            CommandCodec codec,
            ProcessIdentifier process,
            SharedStateReplica replica,
            TimerService timers,
            ExecutorService executor) {
        this(
                log,
                codec,
                process,
                replica,
                timers,
                executor,
                new RandomSources(() -> ThreadLocalRandom.current().nextDouble(), () -> UUID.randomUUID()
                        .toString()),
                executor::shutdownNow);
    }

    /** Creates an appender with the given executor and sources of randomness, for reproducible tests. */
    CommandAppender(
            PlatformLog log,
            CommandCodec codec,
            ProcessIdentifier process,
            SharedStateReplica replica,
            TimerService timers,
            Executor executor,
            RandomSources randomSources,
            Runnable onClose) {
        this.log = log;
        this.codec = codec;
        this.process = process;
        this.replica = replica;
        this.timers = timers;
        this.executor = executor;
        this.jitter = randomSources.jitter();
        this.identifierSupplier = randomSources.identifiers();
        this.onClose = onClose;
        this.budget = AppendBudget.createInitial(timers.nanoTime());
        replica.addListener(new OutcomeListener());
    }

    /**
     * Appends a command. The result completes with the outcome of the fold, or exceptionally with kind
     * {@code PLATFORM_UNAVAILABLE} when the command was not appended and will not be, or with kind
     * {@code LOG_OUTCOME_UNKNOWN}.
     */
    public CompletableFuture<CommandOutcome> submit(Command command) {
        if (pending.size() >= MAX_PENDING_COMMANDS) {
            return CompletableFuture.failedFuture(new CicadaleadException(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "Too many commands wait for the platform log; try again when it has returned"));
        }
        CommandIdentifier identifier = new CommandIdentifier(identifierSupplier.get());
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                identifier,
                process,
                replica.state().offset(),
                command);
        byte[] payload;
        try {
            payload = codec.encode(envelope);
        } catch (CicadaleadException tooLarge) {
            return CompletableFuture.failedFuture(tooLarge);
        }
        PendingAppend append =
                new PendingAppend(identifier, payload, AppendClass.of(command), sequence.incrementAndGet());
        pending.put(identifier, append);
        TimerService.Subscription deadline = timers.after(
                OUTCOME_TIMEOUT,
                () -> append.endWithoutOutcome("The command was not read back in time; look at the state"));
        append.outcome().whenComplete((result, failure) -> {
            pending.remove(identifier);
            deadline.close();
        });
        enqueue(append);
        return append.outcome();
    }

    /** Appends a command and waits for its outcome. Throws the exceptions with which {@link #submit} completes. */
    public CommandOutcome submitAndWait(Command command) {
        try {
            return submit(command)
                    .get(OUTCOME_TIMEOUT.plus(OUTCOME_GRACE_PERIOD).toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException failure) {
            throw failure.getCause() instanceof CicadaleadException cause
                    ? cause
                    : new CicadaleadException(ErrorKind.INTERNAL, "The append failed", failure);
        } catch (TimeoutException timeout) {
            throw new CicadaleadException(
                    ErrorKind.LOG_OUTCOME_UNKNOWN, "The command was not read back in time; look at the state", timeout);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.LOG_OUTCOME_UNKNOWN, "Interrupted", interrupted);
        }
    }

    @Override
    public void close() {
        onClose.run();
    }

    private void enqueue(PendingAppend append) {
        synchronized (queue) {
            queue.add(append);
        }
        sendWithinBudget();
    }

    private void sendWithinBudget() {
        for (Optional<PendingAppend> next = dequeueNext(); next.isPresent(); next = dequeueNext()) {
            PendingAppend append = next.get();
            executor.execute(() -> send(append));
        }
    }

    private Optional<PendingAppend> dequeueNext() {
        synchronized (queue) {
            while (!queue.isEmpty() && queue.peek().outcome().isDone()) {
                queue.remove();
            }
            if (queue.isEmpty() || sendsInFlight >= MAX_CONCURRENT_SENDS) {
                return Optional.empty();
            }
            AppendBudget.Decision decision =
                    budget.tryAcquire(queue.peek().appendClass(), countProcesses(), timers.nanoTime());
            budget = decision.budget();
            if (!decision.granted()) {
                scheduleWakeUp(decision.delay());
                return Optional.empty();
            }
            sendsInFlight++;
            return Optional.of(queue.remove());
        }
    }

    private int countProcesses() {
        return replica.state().members().size();
    }

    private void scheduleWakeUp(Duration delay) {
        if (wakeUpScheduled) {
            return;
        }
        wakeUpScheduled = true;
        timers.after(delay, () -> {
            synchronized (queue) {
                wakeUpScheduled = false;
            }
            sendWithinBudget();
        });
    }

    private void send(PendingAppend append) {
        try {
            if (append.startSending()) {
                attemptAppend(append);
            }
        } finally {
            synchronized (queue) {
                sendsInFlight--;
            }
            sendWithinBudget();
        }
    }

    private void attemptAppend(PendingAppend append) {
        boolean mayHaveBeenAppended = true;
        try {
            log.append(append.payload());
            append.finishSending(true);
            return;
        } catch (CicadaleadException failure) {
            mayHaveBeenAppended = failure.kind() != ErrorKind.PLATFORM_UNAVAILABLE;
        }
        int attempts = append.finishSending(mayHaveBeenAppended);
        if (!mayHaveBeenAppended && attempts >= MAX_ATTEMPTS_NOT_APPENDED) {
            append.endWithoutOutcome("The platform log does not answer; try again when it has returned");
            return;
        }
        timers.after(computeBackoff(attempts), () -> enqueue(append));
    }

    /**
     * Returns a random delay between half and all of an exponential backoff, so that many processes do not retry at the
     * same time.
     */
    private Duration computeBackoff(int attempts) {
        long delay = INITIAL_BACKOFF_MILLISECONDS << Math.min(attempts - 1, MAX_BACKOFF_DOUBLINGS);
        return Duration.ofMillis((long) (delay * (1 + jitter.getAsDouble()) / 2));
    }

    /**
     * Sources of randomness.
     *
     * @param jitter random numbers from 0 to 1
     * @param identifiers unique identifiers
     */
    record RandomSources(DoubleSupplier jitter, Supplier<String> identifiers) {}

    /** Completes pending commands when they are read back. */
    private final class OutcomeListener implements SharedStateReplica.FoldListener {
        @Override
        public void onFolded(
                SharedState previous, SharedState current, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
            if (envelope.isEmpty() || outcome instanceof CommandOutcome.Duplicate) {
                return;
            }
            PendingAppend append = pending.get(envelope.get().identifier());
            if (append != null) {
                append.outcome().complete(outcome);
            }
        }

        @Override
        public void onJumped(SharedState previous, SharedState current) {
            for (PendingAppend append : pending.values()) {
                if (current.commands().contains(append.identifier())) {
                    append.finishSending(true);
                    append.endWithoutOutcome(
                            "The command stands in the log, but its outcome was jumped over; look at the state");
                }
            }
        }
    }
}
