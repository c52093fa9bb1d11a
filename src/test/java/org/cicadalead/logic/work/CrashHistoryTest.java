package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cicadalead.model.work.HostLoss;
import org.cicadalead.model.work.HostLoss.Outcome;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {
    private final CrashHistory history = new CrashHistory();
    private int losses;

    private void addLoss(boolean starting, boolean isolated, Outcome outcome) {
        losses++;
        history.add(new HostLoss(losses, "host-" + losses, "address-" + losses, 1, starting, isolated, outcome));
    }

    @Test
    void givesUpNoTaskThatWasOnlyBesideOthers() {
        addLoss(true, false, Outcome.CRASHED);
        addLoss(false, false, Outcome.CRASHED);
        assertFalse(history.mustGiveUp());
    }

    @Test
    void givesUpTaskThatCrashesItsHostWithoutOtherStarts() {
        addLoss(true, false, Outcome.CRASHED);
        addLoss(true, true, Outcome.CRASHED);
        assertTrue(history.mustGiveUp());
    }

    @Test
    void countsOneHostThatIsLostTwiceWithTheSameRunOnce() {
        history.add(new HostLoss(1, "host", "address", 1, true, true, Outcome.CRASHED));
        history.add(new HostLoss(1, "host", "address", 2, true, true, Outcome.CRASHED));
        assertEquals(1, history.losses().size());
    }

    @Test
    void countsNoHostThatRepliesAgain() {
        addLoss(true, true, Outcome.UNKNOWN);
        history.removeOpen("host-1");
        assertTrue(history.isEmpty());
        assertFalse(history.isSuspect());
    }

    @Test
    void countsNoLossOfARackAgainstTask() {
        addLoss(true, false, Outcome.EXPLAINED);
        addLoss(true, false, Outcome.EXPLAINED);
        addLoss(true, false, Outcome.EXPLAINED);
        assertFalse(history.mustGiveUp());
        assertTrue(history.isSuspect(), "its next start is isolated");
    }

    @Test
    void clearsTaskThatOutlivesAStart() {
        addLoss(true, true, Outcome.CRASHED);
        history.onStartOutlived();
        assertFalse(history.isSuspect());
        addLoss(true, false, Outcome.CRASHED);
        assertFalse(history.mustGiveUp());
    }

    @Test
    void givesUpTaskThatCrashesItsOwnHostLongAfterTheStart() {
        addLoss(false, false, Outcome.CRASHED);
        addLoss(false, false, Outcome.CRASHED);
        assertTrue(history.needsOwnHost());
        addLoss(false, true, Outcome.CRASHED);
        assertTrue(history.mustGiveUp());
    }

    @Test
    void countsStartsThatEarlierLeadersPlannedOnHostsThatEnded() {
        addLoss(true, true, Outcome.PLANNED);
        history.resolveOpen("host-1", false);
        assertEquals(Outcome.POSSIBLE, history.losses().get(0).outcome());
        addLoss(true, true, Outcome.PLANNED);
        history.resolveOpen("host-2", false);
        assertFalse(history.mustGiveUp());
        addLoss(true, false, Outcome.CRASHED);
        assertTrue(history.mustGiveUp());
    }

    @Test
    void givesUpNoTaskBesideOthersAfterItOutlivedAStartThatACrashOnceFollowed() {
        addLoss(true, true, Outcome.CRASHED);
        history.onStartOutlived();
        addLoss(false, false, Outcome.CRASHED);
        addLoss(false, false, Outcome.CRASHED);
        assertFalse(history.mustGiveUp());
    }

    @Test
    void givesTaskOfExplainedLossesAHostOfItsOwnOnlyAfterFour() {
        for (int loss = 1; loss <= 3; loss++) {
            addLoss(false, false, Outcome.EXPLAINED);
        }
        assertFalse(history.isSuspect());
        addLoss(false, false, Outcome.EXPLAINED);
        assertTrue(history.needsOwnHost());
        addLoss(true, true, Outcome.CRASHED);
        assertTrue(history.mustGiveUp());
    }

    @Test
    void givesTaskUpBeforeItsNextStartWhereTheOutcomeOfALossStaysUnknown() {
        addLoss(true, false, Outcome.EXPLAINED);
        addLoss(true, true, Outcome.UNKNOWN);
        assertFalse(history.mustGiveUpBeforeStart());
        addLoss(true, true, Outcome.CRASHED);
        assertFalse(history.mustGiveUp());
        assertTrue(history.mustGiveUpBeforeStart());
    }
}
