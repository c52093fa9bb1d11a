package org.cicadalead.adapters.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ZoneName;
import org.junit.jupiter.api.Test;

/** Each window of a move, by a pause or a fault in just that place. */
class MoveLoopTest {
    private static final HostName HOST = new HostName("east-1");
    private static final PoolName RED = new PoolName("red");
    private static final PoolName BLUE = new PoolName("blue");
    private static final Duration A_WHILE = Duration.ofSeconds(60);
    private static final int EAST_INDEX = 0;

    private final MoveWorld world = new MoveWorld(MoveWorld.Mutation.NONE);
    private final WorldProcess near = world.process(0);
    private final WorldProcess nearToo = world.process(1);
    private final WorldProcess far = world.process(2);
    private final WorldProcess farToo = world.process(3);

    @Test
    void endsWithinSecondsWhenNothingIsInFlight() {
        world.withdraw(HOST, BLUE);
        world.pass(Duration.ofSeconds(3));
        assertEquals(BLUE, pool());
    }

    @Test
    void waitsForWorkInFlightOfEveryProcess() {
        place(far);
        far.proceed(0);
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(RED, pool());
        far.finishWork();
        world.pass(Duration.ofSeconds(3));
        assertEquals(BLUE, pool());
    }

    @Test
    void dropsWorkThatWasChosenBeforeTheWithdrawalAndNotChecked() {
        near.choose(RED, EAST_INDEX);
        world.withdraw(HOST, BLUE);
        world.pass(Duration.ofSeconds(1));
        near.proceed(0);
        assertEquals(0, near.workCount());
    }

    @Test
    void waitsForAProcessThatIsPausedBetweenItsCheckAndItsWrite() {
        place(near);
        near.paused = true;
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(RED, pool());
        near.paused = false;
        near.proceed(0);
        assertEquals(1, near.running(HOST).size());
    }

    @Test
    void placesNothingAfterItsAcknowledgement() {
        near.paused = true;
        world.withdraw(HOST, BLUE);
        world.pass(Duration.ofSeconds(3));
        nearToo.choose(RED, EAST_INDEX);
        nearToo.proceed(0);
        nearToo.proceed(0);
        assertEquals(0, nearToo.running(HOST).size());
    }

    @Test
    void doesNotWaitForAFarMemberBeyondItsLease() {
        world.cutZones();
        far.logCut = true;
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(BLUE, pool());
    }

    @Test
    void waitsForAFarMemberThatIsPausedAndNotCutOff() {
        far.paused = true;
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(RED, pool());
    }

    @Test
    void dropsWorkWhoseLeaseLapsedDuringAPause() {
        far.choose(RED, EAST_INDEX);
        far.paused = true;
        far.logCut = true;
        world.pass(A_WHILE);
        far.paused = false;
        far.proceed(0);
        assertEquals(0, far.workCount());
    }

    @Test
    void resetsTheConnectionOfAFarMemberThatIsPausedBetweenItsCheckAndItsWriteAndCutOff() {
        place(far);
        far.paused = true;
        world.cutZones();
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(BLUE, pool());
        world.heal();
        far.paused = false;
        far.proceed(0);
        assertEquals(0, far.running(HOST).size());
    }

    @Test
    void holdsALeaseByAMemberOfTheZoneWhileTheLogIsOutOfReach() {
        world.processes.forEach(process -> process.logCut = true);
        world.pass(A_WHILE);
        place(far);
        assertEquals(1, far.workCount());
    }

    @Test
    void takesNoLeaseFromAnAnswerThatComesTooLate() {
        far.logCut = true;
        farToo.logCut = true;
        world.holdMessages(true);
        world.pass(A_WHILE);
        far.choose(RED, EAST_INDEX);
        far.proceed(0);
        assertEquals(0, far.workCount());
    }

    @Test
    void servesItsOwnZonesHostsWhileItIsCutOffAndBlocksTheMove() {
        near.logCut = true;
        world.cut(near, nearToo);
        world.cut(near, far);
        world.cut(near, farToo);
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        place(near);
        near.proceed(0);
        assertEquals(1, near.running(HOST).size());
        assertEquals(RED, pool());
    }

    @Test
    void removesAMemberOfTheZoneThatWasKilledAndGoesOn() {
        near.kill();
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(BLUE, pool());
        assertFalse(world.truth().members().containsKey(near.identifier()));
    }

    @Test
    void removesAllMembersOfAZoneThatWereKilledAndGoesOn() {
        near.kill();
        nearToo.kill();
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(BLUE, pool());
    }

    @Test
    void doesNotWaitForAProcessThatJoinsAfterTheWithdrawal() {
        near.paused = true;
        world.withdraw(HOST, BLUE);
        world.startProcess(new ZoneName("east"));
        world.pass(Duration.ofSeconds(3));
        WorldProcess late = world.process(4);
        assertTrue(world.truth().members().containsKey(late.identifier()));
        assertFalse(
                world.truth().hosts().get(HOST).move().orElseThrow().awaited().containsKey(late.identifier()));
        late.choose(RED, EAST_INDEX);
        assertEquals(0, late.countInFlight(HOST));
    }

    @Test
    void letsOneOfTwoRacingMovesWin() {
        world.withdraw(HOST, BLUE);
        world.withdraw(HOST, BLUE);
        world.pass(Duration.ofSeconds(3));
        assertEquals(BLUE, pool());
    }

    @Test
    void letsASponsoredProcessPlaceWhileTheLogIsOutOfReachAndCoversIt() {
        WorldProcess late = startSponsored();
        place(late);
        near.logCut = false;
        nearToo.logCut = false;
        far.logCut = false;
        farToo.logCut = false;
        late.paused = true;
        world.withdraw(HOST, BLUE);
        world.pass(A_WHILE);
        assertEquals(RED, pool());
    }

    @Test
    void goesOnWhenTheSponsoredProcessHasFinished() {
        WorldProcess late = startSponsored();
        place(late);
        world.heal();
        world.withdraw(HOST, BLUE);
        world.pass(Duration.ofSeconds(5));
        assertEquals(RED, pool());
        late.finishWork();
        world.pass(Duration.ofSeconds(5));
        assertEquals(BLUE, pool());
    }

    @Test
    void stopsASponsoredProcessWhoseSponsorHasEnded() {
        WorldProcess late = startSponsored();
        near.kill();
        nearToo.kill();
        world.pass(A_WHILE);
        late.choose(RED, EAST_INDEX);
        late.proceed(0);
        assertEquals(0, late.workCount());
    }

    /** Starts a process while nobody reaches the log. */
    private WorldProcess startSponsored() {
        world.processes.forEach(process -> process.logCut = true);
        world.startProcess(new ZoneName("east"));
        WorldProcess late = world.process(4);
        late.logCut = true;
        late.relayFrom(near);
        world.pass(A_WHILE);
        assertTrue(late.isSponsored());
        return late;
    }

    private PoolName pool() {
        return world.truth().hosts().get(HOST).pool();
    }

    /** Chooses the host and checks the view once more; the write is next. */
    private static void place(WorldProcess process) {
        process.choose(RED, EAST_INDEX);
        process.proceed(0);
    }
}
