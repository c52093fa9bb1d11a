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
    private static final Duration LONG_WAIT = Duration.ofSeconds(60);
    private static final int EAST_INDEX = 0;

    private final MoveSimulation simulation = new MoveSimulation(MoveSimulation.Mutation.NONE);
    private final MoveSimulationProcess eastProcess = simulation.process(0);
    private final MoveSimulationProcess secondEastProcess = simulation.process(1);
    private final MoveSimulationProcess westProcess = simulation.process(2);
    private final MoveSimulationProcess secondWestProcess = simulation.process(3);

    @Test
    void finishesWithinSecondsWhenNothingIsInFlight() {
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(3));
        assertEquals(BLUE, pool());
    }

    @Test
    void waitsForWorkInFlightOfEveryProcess() {
        chooseAndCheckHost(westProcess);
        westProcess.advanceWork(0);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, pool());
        westProcess.finishWork();
        simulation.advance(Duration.ofSeconds(3));
        assertEquals(BLUE, pool());
    }

    @Test
    void dropsUncheckedWorkChosenBeforeWithdrawal() {
        eastProcess.chooseHost(RED, EAST_INDEX);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(1));
        eastProcess.advanceWork(0);
        assertEquals(0, eastProcess.workCount());
    }

    @Test
    void waitsForProcessPausedBetweenCheckAndWrite() {
        chooseAndCheckHost(eastProcess);
        eastProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, pool());
        eastProcess.isPaused = false;
        eastProcess.advanceWork(0);
        assertEquals(1, eastProcess.findRunningPools(HOST).size());
    }

    @Test
    void placesNothingAfterAcknowledgement() {
        eastProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(3));
        secondEastProcess.chooseHost(RED, EAST_INDEX);
        secondEastProcess.advanceWork(0);
        secondEastProcess.advanceWork(0);
        assertEquals(0, secondEastProcess.findRunningPools(HOST).size());
    }

    @Test
    void skipsCutOffMemberOfOtherZoneAfterLeaseExpires() {
        simulation.disconnectZones();
        westProcess.isLogUnreachable = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, pool());
    }

    @Test
    void waitsForPausedMemberOfOtherZone() {
        westProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, pool());
    }

    @Test
    void dropsWorkWhoseLeaseExpiredDuringPause() {
        westProcess.chooseHost(RED, EAST_INDEX);
        westProcess.isPaused = true;
        westProcess.isLogUnreachable = true;
        simulation.advance(LONG_WAIT);
        westProcess.isPaused = false;
        westProcess.advanceWork(0);
        assertEquals(0, westProcess.workCount());
    }

    @Test
    void resetsConnectionOfCutOffMemberPausedBeforeWrite() {
        chooseAndCheckHost(westProcess);
        westProcess.isPaused = true;
        simulation.disconnectZones();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, pool());
        simulation.reconnectAll();
        westProcess.isPaused = false;
        westProcess.advanceWork(0);
        assertEquals(0, westProcess.findRunningPools(HOST).size());
    }

    @Test
    void usesLeaseGrantedByZoneMemberWhileLogIsUnreachable() {
        simulation.processes.forEach(process -> process.isLogUnreachable = true);
        simulation.advance(LONG_WAIT);
        chooseAndCheckHost(westProcess);
        assertEquals(1, westProcess.workCount());
    }

    @Test
    void ignoresLeaseInLateReply() {
        westProcess.isLogUnreachable = true;
        secondWestProcess.isLogUnreachable = true;
        simulation.setMessagesHeld(true);
        simulation.advance(LONG_WAIT);
        westProcess.chooseHost(RED, EAST_INDEX);
        westProcess.advanceWork(0);
        assertEquals(0, westProcess.workCount());
    }

    @Test
    void servesOwnZoneWhileCutOffAndBlocksMove() {
        eastProcess.isLogUnreachable = true;
        simulation.disconnect(eastProcess, secondEastProcess);
        simulation.disconnect(eastProcess, westProcess);
        simulation.disconnect(eastProcess, secondWestProcess);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        chooseAndCheckHost(eastProcess);
        eastProcess.advanceWork(0);
        assertEquals(1, eastProcess.findRunningPools(HOST).size());
        assertEquals(RED, pool());
    }

    @Test
    void removesKilledZoneMemberAndContinues() {
        eastProcess.kill();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, pool());
        assertFalse(simulation.committedState().members().containsKey(eastProcess.identifier()));
    }

    @Test
    void removesAllKilledZoneMembersAndContinues() {
        eastProcess.kill();
        secondEastProcess.kill();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, pool());
    }

    @Test
    void doesNotWaitForProcessJoinedAfterWithdrawal() {
        eastProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.startProcess(new ZoneName("east"));
        simulation.advance(Duration.ofSeconds(3));
        MoveSimulationProcess late = simulation.process(4);
        assertTrue(simulation.committedState().members().containsKey(late.identifier()));
        assertFalse(simulation
                .committedState()
                .hosts()
                .get(HOST)
                .move()
                .orElseThrow()
                .awaited()
                .containsKey(late.identifier()));
        late.chooseHost(RED, EAST_INDEX);
        assertEquals(0, late.countInFlight(HOST));
    }

    @Test
    void acceptsOneOfTwoConcurrentMoves() {
        simulation.withdraw(HOST, BLUE);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(3));
        assertEquals(BLUE, pool());
    }

    @Test
    void waitsForSponsoredProcessWithWorkInFlight() {
        MoveSimulationProcess late = startSponsored();
        chooseAndCheckHost(late);
        eastProcess.isLogUnreachable = false;
        secondEastProcess.isLogUnreachable = false;
        westProcess.isLogUnreachable = false;
        secondWestProcess.isLogUnreachable = false;
        late.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, pool());
    }

    @Test
    void continuesWhenSponsoredProcessHasFinished() {
        MoveSimulationProcess late = startSponsored();
        chooseAndCheckHost(late);
        simulation.reconnectAll();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(5));
        assertEquals(RED, pool());
        late.finishWork();
        simulation.advance(Duration.ofSeconds(5));
        assertEquals(BLUE, pool());
    }

    @Test
    void stopsSponsoredProcessWhenSponsorHasEnded() {
        MoveSimulationProcess late = startSponsored();
        eastProcess.kill();
        secondEastProcess.kill();
        simulation.advance(LONG_WAIT);
        late.chooseHost(RED, EAST_INDEX);
        late.advanceWork(0);
        assertEquals(0, late.workCount());
    }

    /** Starts a process while nobody reaches the log. */
    private MoveSimulationProcess startSponsored() {
        simulation.processes.forEach(process -> process.isLogUnreachable = true);
        simulation.startProcess(new ZoneName("east"));
        MoveSimulationProcess late = simulation.process(4);
        late.isLogUnreachable = true;
        late.relayFrom(eastProcess);
        simulation.advance(LONG_WAIT);
        assertTrue(late.isSponsored());
        return late;
    }

    private PoolName pool() {
        return simulation.committedState().hosts().get(HOST).pool();
    }

    /** Chooses the host and checks the view once more; the write is next. */
    private static void chooseAndCheckHost(MoveSimulationProcess process) {
        process.chooseHost(RED, EAST_INDEX);
        process.advanceWork(0);
    }
}
