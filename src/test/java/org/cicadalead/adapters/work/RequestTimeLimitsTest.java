package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cicadalead.ports.TimerService;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait longer than the process that answers them runs. */
class RequestTimeLimitsTest {
    private final ManualTimerService timers = new ManualTimerService();
    private final RequestTimeLimits limits = new RequestTimeLimits(timers);
    private final List<String> expired = new ArrayList<>();

    private TimerService.Subscription begin(String name, long milliseconds) {
        return limits.begin(Duration.ofMillis(milliseconds), () -> expired.add(name));
    }

    @Test
    void endsEachWaitAtItsOwnLimit() {
        begin("short", 100);
        begin("long", 3_000);
        timers.advance(Duration.ofMillis(100));
        assertEquals(List.of("short"), expired);
        timers.advance(Duration.ofSeconds(5));
        assertEquals(List.of("short", "long"), expired);
    }

    @Test
    void endsOpenWaitsOnceWhenDrainEnds() {
        begin("open", 3_000);
        limits.expireAll();
        assertEquals(List.of("open"), expired);
        timers.advance(Duration.ofSeconds(5));
        limits.expireAll();
        assertEquals(List.of("open"), expired);
    }

    @Test
    void endsWaitAtOnceThatBeginsAfterTheDrain() {
        limits.expireAll();
        begin("late", 3_000);
        assertEquals(List.of("late"), expired);
    }

    @Test
    void doesNotEndWaitOfAnsweredRequest() {
        begin("answered", 100).close();
        timers.advance(Duration.ofSeconds(1));
        limits.expireAll();
        assertEquals(List.of(), expired);
    }
}
