package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cicadalead.ports.TimerService;

/**
 * Repeats a query that cannot be answered now, as while the leader is replaced, until it is answered or a time limit
 * ends. Safe for use by several threads.
 */
final class RepeatedQuery<T> {
    /** Delay before a query is repeated: the interval at which a follower notices a new leader. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(200);

    private final TimerService timers;
    private final Supplier<CompletableFuture<T>> query;
    private final Predicate<T> isAnswer;
    private final long endNanoTime;
    private final CompletableFuture<T> result = new CompletableFuture<>();

    private RepeatedQuery(
            TimerService timers, Supplier<CompletableFuture<T>> query, Predicate<T> isAnswer, Duration limit) {
        this.timers = timers;
        this.query = query;
        this.isAnswer = isAnswer;
        this.endNanoTime = timers.nanoTime() + limit.toNanos();
    }

    /**
     * Runs a query at least once.
     *
     * @param timeLimits ends the wait of a process that stops
     * @param query the query; must not fail
     * @param isAnswer whether a result is an answer, and not only that there is none now
     * @param noAnswer the result when the limit ends during a query
     */
    static <T> CompletableFuture<T> run(
            TimerService timers,
            RequestTimeLimits timeLimits,
            Supplier<CompletableFuture<T>> query,
            Predicate<T> isAnswer,
            T noAnswer,
            Duration limit) {
        RepeatedQuery<T> repeated = new RepeatedQuery<>(timers, query, isAnswer, limit);
        repeated.send();
        if (!repeated.result.isDone()) {
            TimerService.Subscription wait = timeLimits.begin(limit, () -> repeated.result.complete(noAnswer));
            repeated.result.thenRun(wait::close);
        }
        return repeated.result;
    }

    private void send() {
        if (!result.isDone()) {
            query.get().thenAccept(this::onReply);
        }
    }

    private void onReply(T reply) {
        boolean isTimeLeft = TimeUnit.NANOSECONDS.toMillis(endNanoTime - timers.nanoTime()) > REPEAT_DELAY.toMillis();
        if (isAnswer.test(reply) || !isTimeLeft) {
            result.complete(reply);
        } else {
            timers.after(REPEAT_DELAY, this::send);
        }
    }
}
