package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

/**
 * Guards against queries that are rejected while the leader is replaced, although the next leader could answer them.
 */
class RepeatedQueryTest {
    private static final Duration LIMIT = Duration.ofSeconds(2);

    private final ManualTimerService timers = new ManualTimerService();
    private final RequestTimeLimits timeLimits = new RequestTimeLimits(timers);
    private final Deque<CompletableFuture<Optional<Integer>>> replies = new ArrayDeque<>();
    private int queries;

    private CompletableFuture<Optional<Integer>> ask() {
        queries++;
        CompletableFuture<Optional<Integer>> reply = replies.poll();
        return reply == null ? CompletableFuture.completedFuture(Optional.empty()) : reply;
    }

    private CompletableFuture<Optional<Integer>> run() {
        return RepeatedQuery.run(timers, timeLimits, this::ask, Optional::isPresent, Optional.empty(), LIMIT);
    }

    @Test
    void answersAtOnceWhenLeaderIsKnown() {
        replies.add(CompletableFuture.completedFuture(Optional.of(7)));
        assertEquals(Optional.of(7), run().getNow(Optional.empty()));
        timers.advance(LIMIT);
        assertEquals(1, queries);
    }

    @Test
    void answersAfterNextLeaderHasBegun() {
        replies.addAll(List.of(
                CompletableFuture.completedFuture(Optional.empty()),
                CompletableFuture.completedFuture(Optional.empty()),
                CompletableFuture.completedFuture(Optional.of(7))));
        CompletableFuture<Optional<Integer>> answer = run();
        assertFalse(answer.isDone());
        timers.advance(Duration.ofMillis(400));
        assertEquals(Optional.of(7), answer.getNow(Optional.empty()));
    }

    @Test
    void answersInTimeWhenLeaderDoesNotReply() {
        replies.add(new CompletableFuture<>());
        CompletableFuture<Optional<Integer>> answer = run();
        timers.advance(LIMIT);
        assertEquals(Optional.empty(), answer.getNow(Optional.of(7)));
    }

    @Test
    void asksNoMoreAfterItsCallerStopsWaiting() {
        run();
        timers.advance(LIMIT);
        int queriesInTime = queries;
        timers.advance(LIMIT);
        assertEquals(queriesInTime, queries);
    }

    @Test
    void answersBeforeTheProcessEndsAlthoughItsCallerWaitsLonger() {
        replies.add(new CompletableFuture<>());
        CompletableFuture<Optional<Integer>> answer = run();
        timeLimits.expireAll();
        assertEquals(Optional.empty(), answer.getNow(Optional.of(7)));
    }
}
