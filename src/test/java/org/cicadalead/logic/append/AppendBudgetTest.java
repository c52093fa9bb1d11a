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
    private static final int SEVERAL_HUNDRED = 300;

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 8, 20})
    void allProcessesTogetherStayWithinSeveralHundredInAnySecond(int processes) {
        long idleBefore = Duration.ofMinutes(1).toNanos();
        AppendBudget budget = AppendBudget.starting(0);
        int granted = 0;
        for (long now = idleBefore; now < idleBefore + Duration.ofSeconds(1).toNanos(); now += 1_000_000) {
            Decision decision = budget.take(AppendClass.SAFETY, processes, now);
            budget = decision.budget();
            granted += decision.granted() ? 1 : 0;
        }
        assertTrue(granted * processes <= SEVERAL_HUNDRED, granted + " of " + processes);
    }

    @ParameterizedTest
    @EnumSource(AppendClass.class)
    void everyClassIsGrantedAfterTheWaitThatItWasTold(AppendClass appendClass) {
        AppendBudget budget = new AppendBudget(0, 0);
        Decision refused = budget.take(appendClass, 200, 0);
        assertFalse(refused.granted());
        Decision later = refused.budget().take(appendClass, 200, refused.delay().toNanos() + 1);
        assertTrue(later.granted());
    }

    @Test
    void plannedWorkLeavesRoomForFailures() {
        AppendBudget budget = new AppendBudget(AppendBudget.capacity(8), 0);
        int planned = 0;
        for (Decision next = budget.take(AppendClass.PLANNED, 8, 0);
                next.granted();
                next = budget.take(AppendClass.PLANNED, 8, 0)) {
            budget = next.budget();
            planned++;
        }
        assertTrue(planned > 0);
        assertTrue(budget.take(AppendClass.SAFETY, 8, 0).granted());
    }

    @Test
    void aClockThatStandsStillGrantsNothingMore() {
        Decision first = AppendBudget.starting(5).take(AppendClass.SAFETY, 1, 5);
        assertTrue(first.granted());
        assertEquals(false, first.budget().take(AppendClass.SAFETY, 1, 5).granted());
    }
}
