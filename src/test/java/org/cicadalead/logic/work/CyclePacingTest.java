package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CyclePacingTest {
    private static final long MILLISECOND = 1_000_000;

    private final CyclePacing pacing = new CyclePacing();

    @Test
    void takesAtMostQuarterOfProcessorForLongCycles() {
        for (long milliseconds = 2; milliseconds <= 13; milliseconds++) {
            pacing.onCycleEnded(milliseconds * MILLISECOND);
            assertTrue(pacing.delayMilliseconds() >= 3 * milliseconds, "after " + milliseconds + " ms");
        }
    }

    @Test
    void respondsQuicklyAgainAfterShortCycle() {
        long initial = pacing.delayMilliseconds();
        pacing.onCycleEnded(1_000 * MILLISECOND);
        assertTrue(pacing.delayMilliseconds() <= 40);
        pacing.onCycleEnded(MILLISECOND / 10);
        assertEquals(initial, pacing.delayMilliseconds());
    }

    @Test
    void decidesOnMachinesAtIntervals() {
        assertTrue(pacing.startMachineDecisions(0));
        assertFalse(pacing.startMachineDecisions(49));
        assertTrue(pacing.startMachineDecisions(50));
        assertFalse(pacing.startMachineDecisions(51));
    }

    @Test
    void announcesAtIntervalsUnlessStartsWait() {
        assertTrue(pacing.startAnnouncement(0, false, false));
        assertFalse(pacing.startAnnouncement(149, false, false));
        assertTrue(pacing.startAnnouncement(149, true, false));
        assertFalse(pacing.startAnnouncement(298, false, false));
        assertTrue(pacing.startAnnouncement(299, false, false));
        assertFalse(pacing.startAnnouncement(378, false, true));
        assertTrue(pacing.startAnnouncement(379, false, true));
    }
}
