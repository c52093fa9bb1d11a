package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against waits of a stopping process that together outlast its grace period. */
class StopScheduleTest {
    @Test
    void sumOfWaitsFitsEveryGracePeriod() {
        LongStream.rangeClosed(1, 600)
                .mapToObj(tenths -> Duration.ofMillis(100 * tenths))
                .forEach(gracePeriod -> {
                    StopSchedule schedule = StopSchedule.of(gracePeriod);
                    Duration closedAt = schedule.drain().plus(schedule.answering());
                    assertTrue(schedule.drain().compareTo(gracePeriod.dividedBy(2)) > 0, gracePeriod + ": " + schedule);
                    assertTrue(schedule.answering().compareTo(Duration.ZERO) > 0, gracePeriod + ": " + schedule);
                    assertTrue(closedAt.compareTo(gracePeriod) < 0, gracePeriod + ": " + schedule);
                });
    }

    @Test
    void keepsTimeForTheEndOfServersAndLog() {
        StopSchedule schedule = StopSchedule.of(Duration.ofSeconds(6));
        assertEquals(
                Duration.ofMillis(500),
                Duration.ofSeconds(6).minus(schedule.drain()).minus(schedule.answering()));
    }

    @Test
    void closesIdleConnectionsOnlyAfterCallersCanHaveChanged() {
        StopSchedule schedule = StopSchedule.of(Duration.ofSeconds(6));
        assertFalse(schedule.mayCloseWhenIdle(Duration.ofMillis(2_599)));
        assertTrue(schedule.mayCloseWhenIdle(Duration.ofMillis(2_600)));
        assertTrue(StopSchedule.of(Duration.ofSeconds(2)).mayCloseWhenIdle(Duration.ofMillis(1_500)));
    }

    @Test
    void closesOpenRequestsOnlyAfterTheyCouldBeAnswered() {
        StopSchedule schedule = StopSchedule.of(Duration.ofSeconds(6));
        assertFalse(schedule.isDrainOver(Duration.ofMillis(5_199)));
        assertTrue(schedule.isDrainOver(Duration.ofMillis(5_200)));
        assertFalse(schedule.mustClose(Duration.ofMillis(5_499)));
        assertTrue(schedule.mustClose(Duration.ofMillis(5_500)));
    }
}
