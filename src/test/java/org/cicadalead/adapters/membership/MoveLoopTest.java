package org.cicadalead.adapters.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ZoneName;
import org.junit.jupiter.api.Test;

/** Tests each step of a move with a pause or a fault at exactly that step. */
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
        assertEquals(BLUE, poolOfHost());
    }

    @Test
    void waitsForWorkInFlightOfEveryProcess() {
        chooseAndCheckHost(westProcess);
        westProcess.advanceWork(0);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, poolOfHost());
        westProcess.finishWork();
        simulation.advance(Duration.ofSeconds(3));
        assertEquals(BLUE, poolOfHost());
    }

    @Test
    void dropsUncheckedWorkChosenBeforeWithdrawal() {
        eastProcess.chooseHost(RED, EAST_INDEX);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(1));
        eastProcess.advanceWork(0);
        assertEquals(0, eastProcess.countWorkItems());
    }

    @Test
    void waitsForProcessPausedBetweenCheckAndWrite() {
        chooseAndCheckHost(eastProcess);
        eastProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, poolOfHost());
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
        assertEquals(BLUE, poolOfHost());
    }

    @Test
    void waitsForPausedMemberOfOtherZone() {
        westProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, poolOfHost());
    }

    @Test
    void dropsWorkWhoseLeaseExpiredDuringPause() {
        westProcess.chooseHost(RED, EAST_INDEX);
        westProcess.isPaused = true;
        westProcess.isLogUnreachable = true;
        simulation.advance(LONG_WAIT);
        westProcess.isPaused = false;
        westProcess.advanceWork(0);
        assertEquals(0, westProcess.countWorkItems());
    }

    @Test
    void resetsConnectionOfCutOffMemberPausedBeforeWrite() {
        chooseAndCheckHost(westProcess);
        westProcess.isPaused = true;
        simulation.disconnectZones();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, poolOfHost());
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
        assertEquals(1, westProcess.countWorkItems());
    }

    @Test
    void ignoresLeaseInLateReply() {
        westProcess.isLogUnreachable = true;
        secondWestProcess.isLogUnreachable = true;
        simulation.setMessagesHeld(true);
        simulation.advance(LONG_WAIT);
        westProcess.chooseHost(RED, EAST_INDEX);
        westProcess.advanceWork(0);
        assertEquals(0, westProcess.countWorkItems());
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
        assertEquals(RED, poolOfHost());
    }

    @Test
    void removesKilledZoneMemberAndContinues() {
        eastProcess.kill();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, poolOfHost());
        assertFalse(simulation.committedState().members().containsKey(eastProcess.identifier()));
    }

    @Test
    void removesAllKilledZoneMembersAndContinues() {
        eastProcess.kill();
        secondEastProcess.kill();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(BLUE, poolOfHost());
    }

    @Test
    void doesNotWaitForProcessJoinedAfterWithdrawal() {
        eastProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.startProcess(new ZoneName("east"));
        simulation.advance(Duration.ofSeconds(3));
        MoveSimulationProcess newProcess = simulation.process(4);
        assertTrue(simulation.committedState().members().containsKey(newProcess.identifier()));
        assertFalse(simulation
                .committedState()
                .hosts()
                .get(HOST)
                .move()
                .orElseThrow()
                .awaited()
                .containsKey(newProcess.identifier()));
        newProcess.chooseHost(RED, EAST_INDEX);
        assertEquals(0, newProcess.countInFlight(HOST));
    }

    @Test
    void acceptsOneOfTwoConcurrentMoves() {
        simulation.withdraw(HOST, BLUE);
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(3));
        assertEquals(BLUE, poolOfHost());
    }

    @Test
    void waitsForSponsoredProcessWithWorkInFlight() {
        MoveSimulationProcess newProcess = startSponsored();
        chooseAndCheckHost(newProcess);
        eastProcess.isLogUnreachable = false;
        secondEastProcess.isLogUnreachable = false;
        westProcess.isLogUnreachable = false;
        secondWestProcess.isLogUnreachable = false;
        newProcess.isPaused = true;
        simulation.withdraw(HOST, BLUE);
        simulation.advance(LONG_WAIT);
        assertEquals(RED, poolOfHost());
    }

    @Test
    void continuesWhenSponsoredProcessHasFinished() {
        MoveSimulationProcess newProcess = startSponsored();
        chooseAndCheckHost(newProcess);
        simulation.reconnectAll();
        simulation.withdraw(HOST, BLUE);
        simulation.advance(Duration.ofSeconds(5));
        assertEquals(RED, poolOfHost());
        newProcess.finishWork();
        simulation.advance(Duration.ofSeconds(5));
        assertEquals(BLUE, poolOfHost());
    }

    @Test
    void stopsSponsoredProcessWhenSponsorHasEnded() {
        MoveSimulationProcess newProcess = startSponsored();
        eastProcess.kill();
        secondEastProcess.kill();
        simulation.advance(LONG_WAIT);
        newProcess.chooseHost(RED, EAST_INDEX);
        newProcess.advanceWork(0);
        assertEquals(0, newProcess.countWorkItems());
    }

    /** Starts a process while no process reaches the log, and lets a member sponsor it. */
    private MoveSimulationProcess startSponsored() {
        simulation.processes.forEach(process -> process.isLogUnreachable = true);
        simulation.startProcess(new ZoneName("east"));
        MoveSimulationProcess newProcess = simulation.process(4);
        newProcess.isLogUnreachable = true;
        newProcess.relayFrom(eastProcess);
        simulation.advance(LONG_WAIT);
        assertTrue(newProcess.isSponsored());
        return newProcess;
    }

    private PoolName poolOfHost() {
        return simulation.committedState().hosts().get(HOST).pool();
    }

    /** Chooses the host and checks the view again; the next step is the write. */
    private static void chooseAndCheckHost(MoveSimulationProcess process) {
        process.chooseHost(RED, EAST_INDEX);
        process.advanceWork(0);
    }
}
