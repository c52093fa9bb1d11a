package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.model.request.AttemptOutcome;
import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private static final int SLOTS = 8;
    private static final long EJECTION = UpstreamHealth.INITIAL_EJECTION_DURATION.toNanos();

    @Test
    void ejectsWorkerAfterConsecutiveFailures() {
        UpstreamHealth ejected = fail(UpstreamHealth.initial(), 5, true, 0);
        assertEquals(0, ejected.usableSlots(SLOTS, 1));
    }

    @Test
    void ejectsUnresponsiveWorkerSooner() {
        UpstreamHealth record = UpstreamHealth.initial();
        for (int count = 0; count < 3; count++) {
            record = record.withOutcome(AttemptOutcome.TIMED_OUT, true, 0);
        }
        assertTrue(record.isEjected());
    }

    @Test
    void keepsWorkerNeededByAvailabilityBudget() {
        assertFalse(fail(UpstreamHealth.initial(), 50, false, 0).isEjected());
    }

    @Test
    void successResetsConsecutiveFailures() {
        UpstreamHealth record =
                fail(UpstreamHealth.initial(), 4, true, 0).withOutcome(AttemptOutcome.ANSWERED, true, 0);
        assertFalse(fail(record, 4, true, 0).isEjected());
    }

    @Test
    void probesWithOneRequestAtATime() {
        UpstreamHealth ejected = fail(UpstreamHealth.initial(), 5, true, 0);
        assertEquals(1, ejected.usableSlots(SLOTS, EJECTION));
    }

    @Test
    void failedProbeDoublesEjectionDuration() {
        UpstreamHealth again = fail(fail(UpstreamHealth.initial(), 5, true, 0), 1, true, EJECTION);
        assertEquals(0, again.usableSlots(SLOTS, 2 * EJECTION));
        assertEquals(1, again.usableSlots(SLOTS, 3 * EJECTION));
    }

    @Test
    void restoresSlotsGraduallyDuringSlowStart() {
        UpstreamHealth returned =
                fail(UpstreamHealth.initial(), 5, true, 0).withOutcome(AttemptOutcome.ANSWERED, true, EJECTION);
        assertEquals(1, returned.usableSlots(SLOTS, EJECTION));
        long half = EJECTION + UpstreamHealth.SLOW_START_DURATION.dividedBy(2).toNanos();
        assertEquals(5, returned.usableSlots(SLOTS, half));
        assertEquals(
                SLOTS, returned.usableSlots(SLOTS, half + Duration.ofMinutes(1).toNanos()));
    }

    private static UpstreamHealth fail(UpstreamHealth record, int count, boolean mayEject, long now) {
        UpstreamHealth failed = record;
        for (int done = 0; done < count; done++) {
            failed = failed.withOutcome(AttemptOutcome.CONNECTION_LOST, mayEject, now);
        }
        return failed;
    }
}
