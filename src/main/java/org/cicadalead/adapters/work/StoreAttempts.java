package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cicadalead.adapters.work.JobRequestService.StoreOutcome;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Stores the records of one request: in the first topic that is available, else in the next one, else through the
 * leader. An attempt begins when the one before it has failed, or beside it when it gets no response; the same record
 * in two topics is one job. When every attempt is known to have had no effect, the records are refused. When one got no
 * response, it may take effect at any later time, which no read and no later refusal can rule out; the attempts are
 * then repeated, as storing the records once more settles the outcome, until the caller stops waiting. Safe for use by
 * several threads.
 */
final class StoreAttempts {
    /**
     * Time without a response after which the next attempt begins beside the one in flight. The store responds within a
     * few milliseconds; a caller whose attempts wait for each other's timeouts learns the outcome seconds later.
     */
    private static final Duration NEXT_ATTEMPT_DELAY = Duration.ofMillis(250);

    /** Delay before the attempts are repeated: the interval at which a follower notices that the store is back. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(200);

    /**
     * Time for which attempts with an unknown outcome are repeated. Callers repeat a request with an unknown outcome at
     * another process, within 100 ms and a few times only: earlier answers use these up, and with later ones a caller
     * of 3 s does not reach a process that has a way to the store.
     */
    private static final Duration REPEAT_LIMIT = Duration.ofSeconds(1);

    private final MonitoredStore store;
    private final TimerService timers;
    private final RequestTimeLimits timeLimits;
    private final Map<Topic, RecordAppender> appenders;
    private final LeaderRoute leaderRoute;
    private final List<KeyedRecord> records;
    private final Runnable onUnknownOutcome;
    private final CompletableFuture<StoreOutcome> result = new CompletableFuture<>();
    private final List<RecordAppender.Batch> batches = new ArrayList<>();
    private Iterator<Topic> topics = JobsFeed.TOPICS.iterator();
    private boolean triedLeader;
    private int attemptsInFlight;
    private boolean outcomeUnknown;
    private boolean closed;
    private volatile long startedAt;

    /**
     * Creates attempts that have not started.
     *
     * @param outcomeUnknown whether an attempt of an earlier request may still store the records
     * @param onUnknownOutcome is called when an attempt gets no response, before the result is known
     */
    StoreAttempts(
            MonitoredStore store,
            TimerService timers,
            RequestTimeLimits timeLimits,
            Map<Topic, RecordAppender> appenders,
            LeaderRoute leaderRoute,
            List<KeyedRecord> records,
            boolean outcomeUnknown,
            Runnable onUnknownOutcome) {
        this.store = store;
        this.timers = timers;
        this.timeLimits = timeLimits;
        this.appenders = appenders;
        this.leaderRoute = leaderRoute;
        this.records = List.copyOf(records);
        this.outcomeUnknown = outcomeUnknown;
        this.onUnknownOutcome = onUnknownOutcome;
    }

    /** Starts the attempts; completes by the end of the timeout at the latest. */
    CompletableFuture<StoreOutcome> start(Duration timeout) {
        startedAt = timers.nanoTime();
        TimerService.Subscription wait = timeLimits.begin(timeout, this::onTimeout);
        result.thenRun(wait::close);
        startNext();
        return result;
    }

    /** Keeps records that have not been sent from being sent; what has been sent may still take effect. */
    private void onTimeout() {
        close();
        boolean mayTakeEffect;
        synchronized (this) {
            mayTakeEffect = outcomeUnknown || attemptsInFlight > 0;
        }
        if (mayTakeEffect) {
            onUnknownOutcome.run();
        }
        result.complete(mayTakeEffect ? StoreOutcome.UNCERTAIN : StoreOutcome.REFUSED);
    }

    private void close() {
        List<RecordAppender.Batch> toWithdraw;
        synchronized (this) {
            closed = true;
            toWithdraw = List.copyOf(batches);
        }
        toWithdraw.forEach(RecordAppender.Batch::withdraw);
    }

    /** Starts the next attempt unless the result is known or none is left. */
    private void startNext() {
        Supplier<CompletableFuture<AppendOutcome>> attempt;
        synchronized (this) {
            if (closed || triedLeader) {
                return;
            }
            attempt = nextAttempt();
            attemptsInFlight++;
        }
        CompletableFuture<AppendOutcome> outcome = attempt.get();
        outcome.thenAccept(this::onOutcome);
        if (!outcome.isDone()) {
            timers.after(NEXT_ATTEMPT_DELAY, () -> {
                if (!outcome.isDone()) {
                    startNext();
                }
            });
        }
    }

    private Supplier<CompletableFuture<AppendOutcome>> nextAttempt() {
        while (topics.hasNext()) {
            Topic topic = topics.next();
            if (!store.isUnavailable(topic)) {
                return () -> appendTo(topic);
            }
        }
        triedLeader = true;
        return () -> leaderRoute.store(records);
    }

    private CompletableFuture<AppendOutcome> appendTo(Topic topic) {
        RecordAppender.Batch batch = Objects.requireNonNull(appenders.get(topic), "the topic stores no jobs")
                .offer(records);
        boolean isTooLate;
        synchronized (this) {
            batches.add(batch);
            isTooLate = closed;
        }
        if (isTooLate) {
            batch.withdraw();
        }
        return batch.outcome();
    }

    private void onOutcome(AppendOutcome outcome) {
        boolean isUnknown = outcome == AppendOutcome.UNKNOWN;
        Optional<StoreOutcome> ended;
        boolean allFailed;
        synchronized (this) {
            attemptsInFlight--;
            outcomeUnknown |= isUnknown;
            allFailed = triedLeader && attemptsInFlight == 0;
            ended = outcome == AppendOutcome.STORED
                    ? Optional.of(StoreOutcome.STORED)
                    : allFailed ? outcomeOfFailures() : Optional.empty();
        }
        if (isUnknown) {
            // At once, as the caller may retry at this process before the attempts have ended.
            onUnknownOutcome.run();
        }
        if (ended.isPresent()) {
            result.complete(ended.get());
            close();
        } else if (allFailed) {
            timers.after(REPEAT_DELAY, this::repeat);
        } else {
            startNext();
        }
    }

    /** Returns the result when all attempts have failed; empty if they are to be repeated. */
    private Optional<StoreOutcome> outcomeOfFailures() {
        if (!outcomeUnknown) {
            return Optional.of(StoreOutcome.REFUSED);
        }
        return timers.nanoTime() - startedAt >= REPEAT_LIMIT.toNanos()
                ? Optional.of(StoreOutcome.UNCERTAIN)
                : Optional.empty();
    }

    private void repeat() {
        synchronized (this) {
            topics = JobsFeed.TOPICS.iterator();
            triedLeader = false;
        }
        startNext();
    }

    /** Way to the store through the leader. */
    interface LeaderRoute {
        /** Way of a process that may not ask another one. */
        LeaderRoute NONE = records -> CompletableFuture.completedFuture(AppendOutcome.REFUSED);

        /** Lets the leader store records; refused if no leader is known or none was asked. */
        CompletableFuture<AppendOutcome> store(List<KeyedRecord> records);
    }
}
