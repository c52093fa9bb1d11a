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
 * Appends commands within this process's share of the log's appends, the most urgent class first, and learns their
 * outcome by reading them back. An append whose reply was lost is appended again with the same identifier, after a
 * jittered delay; the fold drops the second copy. What waits is bounded in number and in time. Safe for use by several
 * threads.
 */
public final class CommandAppender implements AutoCloseable {
    /** Time after which a command that was not read back ends without an outcome. */
    public static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration ANSWER_GRACE = Duration.ofSeconds(1);
    private static final int MAXIMUM_PENDING = 10_000;
    private static final int MAXIMUM_SENDS = 8;
    private static final int MAXIMUM_NOT_APPENDED = 3;
    private static final long FIRST_BACKOFF_MILLISECONDS = 100;
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 5;

    private final PlatformLog log;
    private final CommandCodec codec;
    private final ProcessIdentifier process;
    private final SharedStateReplica replica;
    private final TimerService timers;
    private final Executor threads;
    private final DoubleSupplier jitter;
    private final Supplier<String> identifiers;
    private final Runnable onClose;
    private final Map<CommandIdentifier, PendingAppend> pending = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private final PriorityQueue<PendingAppend> queue = new PriorityQueue<>();
    private AppendBudget budget;
    private int sends;
    private boolean wakeUpPlanned;

    /** Creates an appender that reads outcomes back from the replica. */
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
            ExecutorService threads) {
        this(
                log,
                codec,
                process,
                replica,
                timers,
                threads,
                new Chance(() -> ThreadLocalRandom.current().nextDouble(), () -> UUID.randomUUID()
                        .toString()),
                threads::shutdownNow);
    }

    /** Creates an appender with given threads and randomness, for tests that repeat. */
    CommandAppender(
            PlatformLog log,
            CommandCodec codec,
            ProcessIdentifier process,
            SharedStateReplica replica,
            TimerService timers,
            Executor threads,
            Chance chance,
            Runnable onClose) {
        this.log = log;
        this.codec = codec;
        this.process = process;
        this.replica = replica;
        this.timers = timers;
        this.threads = threads;
        this.jitter = chance.jitter();
        this.identifiers = chance.identifiers();
        this.onClose = onClose;
        this.budget = AppendBudget.starting(timers.nanoTime());
        replica.addListener(new OutcomeListener());
    }

    /**
     * Appends a command; the result completes with the fold's outcome, or exceptionally with kind
     * {@code PLATFORM_UNAVAILABLE} when nothing was and will be appended, or {@code LOG_OUTCOME_UNKNOWN}.
     */
    public CompletableFuture<CommandOutcome> submit(Command command) {
        if (pending.size() >= MAXIMUM_PENDING) {
            return CompletableFuture.failedFuture(new CicadaleadException(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "Too many commands wait for the platform log; try again when it has returned"));
        }
        CommandIdentifier identifier = new CommandIdentifier(identifiers.get());
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
                OUTCOME_TIMEOUT, () -> append.giveUp("The command was not read back in time; look at the state"));
        append.outcome().whenComplete((value, failure) -> {
            pending.remove(identifier);
            deadline.close();
        });
        enqueue(append);
        return append.outcome();
    }

    /** Appends a command and waits for its outcome; throws as {@link #submit} completes exceptionally. */
    public CommandOutcome submitAndWait(Command command) {
        try {
            return submit(command).get(OUTCOME_TIMEOUT.plus(ANSWER_GRACE).toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException failure) {
            throw failure.getCause() instanceof CicadaleadException known
                    ? known
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
        sendWhatMayBeSent();
    }

    private void sendWhatMayBeSent() {
        for (Optional<PendingAppend> next = takeNext(); next.isPresent(); next = takeNext()) {
            PendingAppend append = next.get();
            threads.execute(() -> send(append));
        }
    }

    private Optional<PendingAppend> takeNext() {
        synchronized (queue) {
            while (!queue.isEmpty() && queue.peek().outcome().isDone()) {
                queue.remove();
            }
            if (queue.isEmpty() || sends >= MAXIMUM_SENDS) {
                return Optional.empty();
            }
            AppendBudget.Decision decision = budget.take(queue.peek().appendClass(), processes(), timers.nanoTime());
            budget = decision.budget();
            if (!decision.granted()) {
                planWakeUp(decision.delay());
                return Optional.empty();
            }
            sends++;
            return Optional.of(queue.remove());
        }
    }

    private int processes() {
        return replica.state().members().size();
    }

    private void planWakeUp(Duration wait) {
        if (wakeUpPlanned) {
            return;
        }
        wakeUpPlanned = true;
        timers.after(wait, () -> {
            synchronized (queue) {
                wakeUpPlanned = false;
            }
            sendWhatMayBeSent();
        });
    }

    private void send(PendingAppend append) {
        try {
            if (append.startSending()) {
                appendOnce(append);
            }
        } finally {
            synchronized (queue) {
                sends--;
            }
            sendWhatMayBeSent();
        }
    }

    private void appendOnce(PendingAppend append) {
        boolean mayBeAppended = true;
        try {
            log.append(append.payload());
            append.finishSending(true);
            return;
        } catch (CicadaleadException failure) {
            mayBeAppended = failure.kind() != ErrorKind.PLATFORM_UNAVAILABLE;
        }
        int attempts = append.finishSending(mayBeAppended);
        if (!mayBeAppended && attempts >= MAXIMUM_NOT_APPENDED) {
            append.giveUp("The platform log does not answer; try again when it has returned");
            return;
        }
        timers.after(backoff(attempts), () -> enqueue(append));
    }

    /** Half to all of a delay that doubles, so that many processes do not return together. */
    private Duration backoff(int attempts) {
        long delay = FIRST_BACKOFF_MILLISECONDS << Math.min(attempts - 1, MAXIMUM_BACKOFF_DOUBLINGS);
        return Duration.ofMillis((long) (delay * (1 + jitter.getAsDouble()) / 2));
    }

    /**
     * Sources of chance.
     *
     * @param jitter numbers from 0 to 1
     * @param identifiers identifiers that are never repeated
     */
    record Chance(DoubleSupplier jitter, Supplier<String> identifiers) {}

    /** Completes commands that are read back. */
    private final class OutcomeListener implements SharedStateReplica.FoldListener {
        @Override
        public void onFolded(
                SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
            if (envelope.isEmpty() || outcome instanceof CommandOutcome.Duplicate) {
                return;
            }
            PendingAppend waiting = pending.get(envelope.get().identifier());
            if (waiting != null) {
                waiting.outcome().complete(outcome);
            }
        }

        @Override
        public void onJumped(SharedState before, SharedState after) {
            for (PendingAppend waiting : pending.values()) {
                if (after.commands().contains(waiting.identifier())) {
                    waiting.finishSending(true);
                    waiting.giveUp("The command stands in the log, but its outcome was jumped over; look at the state");
                }
            }
        }
    }
}
