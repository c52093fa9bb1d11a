package org.cicadalead.logic.append;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.logic.append.AppendBudget.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class AppendBudgetTest {
    /** Total rate plus the burst that full buckets allow. */
    private static final int MAX_APPENDS_PER_SECOND = 300;

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 8, 20})
    void limitsAppendsOfAllProcessesInAnySecond(int processes) {
        long startNanoseconds = Duration.ofMinutes(1).toNanos();
        AppendBudget budget = AppendBudget.createInitial(0);
        int granted = 0;
        for (long nowNanoseconds = startNanoseconds;
                nowNanoseconds < startNanoseconds + Duration.ofSeconds(1).toNanos();
                nowNanoseconds += 1_000_000) {
            Decision decision = budget.tryAcquire(AppendClass.SAFETY, processes, nowNanoseconds);
            budget = decision.budget();
            granted += decision.granted() ? 1 : 0;
        }
        assertTrue(granted * processes <= MAX_APPENDS_PER_SECOND, granted + " of " + processes);
    }

    @ParameterizedTest
    @EnumSource(AppendClass.class)
    void grantsEveryClassAfterReportedDelay(AppendClass appendClass) {
        AppendBudget budget = new AppendBudget(0, 0);
        Decision denied = budget.tryAcquire(appendClass, 200, 0);
        assertFalse(denied.granted());
        Decision retried =
                denied.budget().tryAcquire(appendClass, 200, denied.delay().toNanos() + 1);
        assertTrue(retried.granted());
    }

    @Test
    void plannedAppendsLeaveBudgetForSafetyAppends() {
        AppendBudget budget = new AppendBudget(AppendBudget.capacityPerProcess(8), 0);
        int planned = 0;
        for (Decision decision = budget.tryAcquire(AppendClass.PLANNED, 8, 0);
                decision.granted();
                decision = budget.tryAcquire(AppendClass.PLANNED, 8, 0)) {
            budget = decision.budget();
            planned++;
        }
        assertTrue(planned > 0);
        assertTrue(budget.tryAcquire(AppendClass.SAFETY, 8, 0).granted());
    }

    @Test
    void grantsNothingMoreWithoutElapsedTime() {
        Decision first = AppendBudget.createInitial(5).tryAcquire(AppendClass.SAFETY, 1, 5);
        assertTrue(first.granted());
        assertEquals(false, first.budget().tryAcquire(AppendClass.SAFETY, 1, 5).granted());
    }
}
