package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.model.request.AttemptOutcome;
import org.junit.jupiter.api.Test;

class HostRecordTest {
    private static final int SLOTS = 8;
    private static final long EJECTION = HostRecord.FIRST_EJECTION.toNanos();

    @Test
    void ejectsAWorkerThatFailsEverything() {
        HostRecord ejected = fail(HostRecord.unknown(), 5, true, 0);
        assertEquals(0, ejected.slotsNow(SLOTS, 1));
    }

    @Test
    void ejectsAHungWorkerSooner() {
        HostRecord record = HostRecord.unknown();
        for (int count = 0; count < 3; count++) {
            record = record.after(AttemptOutcome.TIMED_OUT, true, 0);
        }
        assertTrue(record.isEjected());
    }

    @Test
    void keepsAWorkerThatTheBudgetNeeds() {
        assertFalse(fail(HostRecord.unknown(), 50, false, 0).isEjected());
    }

    @Test
    void oneSuccessEndsARowOfFailures() {
        HostRecord record = fail(HostRecord.unknown(), 4, true, 0).after(AttemptOutcome.ANSWERED, true, 0);
        assertFalse(fail(record, 4, true, 0).isEjected());
    }

    @Test
    void probesWithOneRequestAtATime() {
        HostRecord ejected = fail(HostRecord.unknown(), 5, true, 0);
        assertEquals(1, ejected.slotsNow(SLOTS, EJECTION));
    }

    @Test
    void aFailedProbeDoublesTheEjection() {
        HostRecord again = fail(fail(HostRecord.unknown(), 5, true, 0), 1, true, EJECTION);
        assertEquals(0, again.slotsNow(SLOTS, 2 * EJECTION));
        assertEquals(1, again.slotsNow(SLOTS, 3 * EJECTION));
    }

    @Test
    void slotsComeBackSlowly() {
        HostRecord returned = fail(HostRecord.unknown(), 5, true, 0).after(AttemptOutcome.ANSWERED, true, EJECTION);
        assertEquals(1, returned.slotsNow(SLOTS, EJECTION));
        long half = EJECTION + HostRecord.SLOW_START.dividedBy(2).toNanos();
        assertEquals(5, returned.slotsNow(SLOTS, half));
        assertEquals(
                SLOTS, returned.slotsNow(SLOTS, half + Duration.ofMinutes(1).toNanos()));
    }

    private static HostRecord fail(HostRecord record, int count, boolean mayEject, long now) {
        HostRecord failed = record;
        for (int done = 0; done < count; done++) {
            failed = failed.after(AttemptOutcome.CONNECTION_LOST, mayEject, now);
        }
        return failed;
    }
}
