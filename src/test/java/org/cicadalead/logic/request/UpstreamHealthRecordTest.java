package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.model.request.AttemptOutcome;
import org.junit.jupiter.api.Test;

class UpstreamHealthRecordTest {
    private static final int SLOTS = 8;
    private static final long EJECTION = UpstreamHealthRecord.INITIAL_EJECTION_DURATION.toNanos();

    @Test
    void ejectsWorkerAfterConsecutiveFailures() {
        UpstreamHealthRecord ejected = fail(UpstreamHealthRecord.initial(), 5, true, 0);
        assertEquals(0, ejected.usableSlots(SLOTS, 1));
    }

    @Test
    void ejectsUnresponsiveWorkerSooner() {
        UpstreamHealthRecord record = UpstreamHealthRecord.initial();
        for (int count = 0; count < 3; count++) {
            record = record.withOutcome(AttemptOutcome.TIMED_OUT, true, 0);
        }
        assertTrue(record.isEjected());
    }

    @Test
    void keepsWorkerNeededByAvailabilityBudget() {
        assertFalse(fail(UpstreamHealthRecord.initial(), 50, false, 0).isEjected());
    }

    @Test
    void successResetsConsecutiveFailures() {
        UpstreamHealthRecord record =
                fail(UpstreamHealthRecord.initial(), 4, true, 0).withOutcome(AttemptOutcome.ANSWERED, true, 0);
        assertFalse(fail(record, 4, true, 0).isEjected());
    }

    @Test
    void probesWithOneRequestAtATime() {
        UpstreamHealthRecord ejected = fail(UpstreamHealthRecord.initial(), 5, true, 0);
        assertEquals(1, ejected.usableSlots(SLOTS, EJECTION));
    }

    @Test
    void failedProbeDoublesEjectionDuration() {
        UpstreamHealthRecord ejectedAgain = fail(fail(UpstreamHealthRecord.initial(), 5, true, 0), 1, true, EJECTION);
        assertEquals(0, ejectedAgain.usableSlots(SLOTS, 2 * EJECTION));
        assertEquals(1, ejectedAgain.usableSlots(SLOTS, 3 * EJECTION));
    }

    @Test
    void restoresSlotsGraduallyDuringSlowStart() {
        UpstreamHealthRecord returned =
                fail(UpstreamHealthRecord.initial(), 5, true, 0).withOutcome(AttemptOutcome.ANSWERED, true, EJECTION);
        assertEquals(1, returned.usableSlots(SLOTS, EJECTION));
        long halfOfSlowStart =
                EJECTION + UpstreamHealthRecord.SLOW_START_DURATION.dividedBy(2).toNanos();
        assertEquals(5, returned.usableSlots(SLOTS, halfOfSlowStart));
        assertEquals(
                SLOTS,
                returned.usableSlots(
                        SLOTS, halfOfSlowStart + Duration.ofMinutes(1).toNanos()));
    }

    private static UpstreamHealthRecord fail(UpstreamHealthRecord record, int count, boolean canEject, long now) {
        UpstreamHealthRecord failed = record;
        for (int failures = 0; failures < count; failures++) {
            failed = failed.withOutcome(AttemptOutcome.CONNECTION_LOST, canEject, now);
        }
        return failed;
    }
}
