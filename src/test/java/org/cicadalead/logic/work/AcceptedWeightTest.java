package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AcceptedWeightTest {
    private static final long MEGABYTE = 1 << 20;

    private final AcceptedWeight weight = new AcceptedWeight();

    private int acceptAll(long bytes, long now) {
        int accepted = 0;
        while (weight.tryAccept(bytes, now)) {
            accepted++;
        }
        return accepted;
    }

    @Test
    void usesPartOfBudgetWhileLeaderIsNotKnown() {
        assertEquals(16, acceptAll(MEGABYTE, 0));
        assertFalse(weight.tryAccept(MEGABYTE, 600_000), "accepted jobs do not end without a report");
    }

    @Test
    void rejectsJobsOfProcessesThatAcceptTogetherMoreThanBudget() {
        long accepted = 0;
        for (long now = 0; now < 60_000; now += 3_000) {
            for (int process = 0; process < AcceptedWeight.SHARE_DIVISOR; process++) {
                AcceptedWeight other = new AcceptedWeight();
                other.onReport(accepted, now);
                accepted += other.tryAccept(8 * MEGABYTE, now) ? 8 * MEGABYTE : 0;
            }
        }
        assertTrue(accepted <= JobAdmission.BUDGET_BYTES, "accepted " + accepted);
    }

    @Test
    void acceptsAgainOnceLeaderReportsThatJobsHaveEnded() {
        acceptAll(MEGABYTE, 0);
        weight.onReport(60 * MEGABYTE, 1_000);
        assertFalse(weight.tryAccept(MEGABYTE, 1_000), "the report may not contain the jobs accepted just before");
        weight.onReport(4 * MEGABYTE, 5_000);
        assertEquals(4 * MEGABYTE, weight.estimateBytes());
        assertTrue(weight.tryAccept(MEGABYTE, 5_000));
    }

    @Test
    void asksLeaderAtMostOnceASecondAndOnlyWhenItMatters() {
        assertTrue(weight.tryAsk(0), "nothing is known after the start");
        assertFalse(weight.tryAsk(5_000));
        weight.tryAccept(MEGABYTE, 5_000);
        assertTrue(weight.tryAsk(5_000));
        assertFalse(weight.tryAsk(5_999));
        assertTrue(weight.tryAsk(6_000));
        weight.onReport(0, 9_000);
        assertFalse(weight.tryAsk(9_000));
        weight.onReport(AcceptedWeight.REPORT_ALWAYS_BYTES, 10_000);
        assertTrue(weight.tryAsk(10_000));
    }
}
