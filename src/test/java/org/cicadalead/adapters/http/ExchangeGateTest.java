package org.cicadalead.adapters.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;

/** Guards against connections that close between the reading of a request and its response. */
class ExchangeGateTest {
    private final Deque<Runnable> queued = new ArrayDeque<>();
    private final ExchangeGate gate = new ExchangeGate(queued::add);
    private final List<String> ran = new ArrayList<>();

    @Test
    void staysOpenWhileAnExchangeIsHandedOverAndHasNotBegun() {
        gate.execute(() -> ran.add("exchange"));
        assertFalse(gate.closeIfIdle());
        queued.remove().run();
        assertEquals(List.of("exchange"), ran);
        assertTrue(gate.closeIfIdle());
    }

    @Test
    void staysOpenUntilTheResponseThatFollowsTheHandler() {
        gate.execute(gate::enter);
        queued.remove().run();
        assertFalse(gate.closeIfIdle());
        gate.leave();
        assertTrue(gate.closeIfIdle());
    }

    @Test
    void readsNothingOfAnExchangeThatComesAfterTheClosing() {
        assertTrue(gate.closeIfIdle());
        gate.execute(() -> ran.add("late"));
        assertTrue(queued.isEmpty());
    }

    @Test
    void isIdleOnlyAfterOpenExchangesHaveEndedBehindAClosedGate() {
        gate.enter();
        gate.close();
        gate.execute(() -> ran.add("late"));
        assertTrue(queued.isEmpty());
        assertFalse(gate.closeIfIdle());
        gate.leave();
        assertTrue(gate.closeIfIdle());
    }

    @Test
    void countsNoExchangeThatFailedOrWasNotRun() {
        gate.execute(() -> {
            throw new IllegalStateException("the handler failed");
        });
        assertThrows(IllegalStateException.class, () -> queued.remove().run());
        ExchangeGate rejecting = new ExchangeGate(exchange -> {
            throw new RejectedExecutionException();
        });
        assertThrows(RejectedExecutionException.class, () -> rejecting.execute(() -> {}));
        assertTrue(gate.closeIfIdle());
        assertTrue(rejecting.closeIfIdle());
    }
}
