package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.TimerService;

/**
 * Collects entries for a short time and appends them as one command. Every entry completes: with the outcome of the
 * record that was read back, with the failure of its append, or with "outcome unknown" after a timeout. Equal entries
 * share a future. Safe for use by several threads.
 *
 * @param <T> type of an entry, with equality by value
 */
final class BatchQueue<T> {
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_WAITING_ENTRIES = 20_000;

    private final CommandSink commands;
    private final TimerService timers;
    private final Function<List<T>, JobCommand> toCommand;
    private final Map<T, CompletableFuture<CommandOutcome>> waiting = new HashMap<>();
    private final List<WaitingEntry<T>> unsent = new ArrayList<>();

    BatchQueue(CommandSink commands, TimerService timers, Function<List<T>, JobCommand> toCommand) {
        this.commands = commands;
        this.timers = timers;
        this.toCommand = toCommand;
    }

    /**
     * Adds an entry. Returns the future of an equal entry that is already waiting, or a failed future with kind
     * {@code QUEUE_FULL} if too many entries are waiting.
     */
    synchronized CompletableFuture<CommandOutcome> add(T entry) {
        CompletableFuture<CommandOutcome> existing = waiting.get(entry);
        if (existing != null) {
            return existing;
        }
        if (waiting.size() >= MAX_WAITING_ENTRIES) {
            return CompletableFuture.failedFuture(new CicadaleadException(
                    ErrorKind.QUEUE_FULL, "Too many submissions and cancellations wait for the platform log"));
        }
        CompletableFuture<CommandOutcome> future = new CompletableFuture<>();
        waiting.put(entry, future);
        unsent.add(new WaitingEntry<>(entry, future));
        if (unsent.size() == 1) {
            timers.after(JobSubmitter.BATCH_DELAY, this::flush);
        }
        return future;
    }

    /** Returns whether any of the entries is waiting for its outcome. */
    synchronized boolean isWaitingForAny(List<T> entries) {
        return !waiting.isEmpty() && entries.stream().anyMatch(waiting::containsKey);
    }

    /** Completes the entries of a record that was read back, even if another process wrote it. */
    void complete(List<T> entries, List<CommandOutcome> outcomes) {
        for (int index = 0; index < entries.size(); index++) {
            CompletableFuture<CommandOutcome> future = remove(entries.get(index));
            future.complete(outcomes.get(index));
        }
    }

    private void flush() {
        for (List<WaitingEntry<T>> batch = nextBatch(); !batch.isEmpty(); batch = nextBatch()) {
            List<WaitingEntry<T>> sentEntries = batch;
            List<T> entries = sentEntries.stream().map(WaitingEntry::entry).toList();
            commands.submit(toCommand.apply(entries)).whenComplete((outcome, failure) -> {
                if (failure != null) {
                    fail(sentEntries, unwrap(failure));
                }
            });
            timers.after(OUTCOME_TIMEOUT, () -> fail(sentEntries, createTimeoutException()));
        }
    }

    private synchronized List<WaitingEntry<T>> nextBatch() {
        int batchSize = Math.min(JobCommand.MAX_ENTRIES, unsent.size());
        List<WaitingEntry<T>> batch = List.copyOf(unsent.subList(0, batchSize));
        unsent.subList(0, batchSize).clear();
        return batch;
    }

    private void fail(List<WaitingEntry<T>> sentEntries, Throwable failure) {
        for (WaitingEntry<T> entry : sentEntries) {
            removeWaiting(entry);
            entry.future().completeExceptionally(failure);
        }
    }

    /** Removes an entry unless an equal entry was added later, which has its own future and keeps waiting. */
    private synchronized void removeWaiting(WaitingEntry<T> entry) {
        waiting.remove(entry.entry(), entry.future());
    }

    private static CicadaleadException createTimeoutException() {
        return new CicadaleadException(
                ErrorKind.LOG_OUTCOME_UNKNOWN,
                "The record was not read back in time; ask again with the same identifier");
    }

    private synchronized CompletableFuture<CommandOutcome> remove(T entry) {
        CompletableFuture<CommandOutcome> future = waiting.remove(entry);
        return future == null ? new CompletableFuture<>() : future;
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private record WaitingEntry<T>(T entry, CompletableFuture<CommandOutcome> future) {}
}
