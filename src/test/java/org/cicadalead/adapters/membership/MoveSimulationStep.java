package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.List;
import org.cicadalead.model.identity.HostName;

/** One step of a simulation: the kind of event, and two numbers that select the processes, hosts or durations. */
record MoveSimulationStep(Kind kind, int first, int second) {
    private static final List<HostName> HOSTS = List.of(new HostName("east-1"), new HostName("west-1"));

    void applyTo(MoveSimulation simulation) {
        HostName host = HOSTS.get(Math.floorMod(second, HOSTS.size()));
        switch (kind) {
            case PASS -> simulation.advance(Duration.ofMillis(250L * (1 + Math.floorMod(first, 8))));
            case PASS_LONG -> simulation.advance(Duration.ofSeconds(4L * (1 + Math.floorMod(first, 4))));
            case CHOOSE ->
                simulation.process(first).chooseHost(MoveSimulation.POOLS.get(Math.floorMod(second, 2)), second / 2);
            case PROCEED -> simulation.process(first).advanceWork(second);
            case WITHDRAW -> simulation.withdraw(host, MoveSimulation.POOLS.get(Math.floorMod(first, 2)));
            case CANCEL -> simulation.cancel(host);
            case PAUSE -> simulation.process(first).isPaused = true;
            case RESUME -> simulation.process(first).isPaused = false;
            case KILL -> simulation.process(first).kill();
            case REPLACE -> simulation.startProcess(simulation.process(first).zone());
            case CUT -> simulation.disconnect(simulation.process(first), simulation.process(second));
            case CUT_LOG -> simulation.process(first).isLogUnreachable = true;
            case CUT_ZONES -> simulation.disconnectZones();
            case HEAL -> simulation.reconnectAll();
            case HOLD_MESSAGES -> simulation.setMessagesHeld(true);
            case RELEASE_MESSAGES -> simulation.setMessagesHeld(false);
            default -> simulation.process(first).relayFrom(simulation.process(second));
        }
    }

    /** The kinds of events. */
    enum Kind {
        PASS,
        PASS_LONG,
        CHOOSE,
        PROCEED,
        WITHDRAW,
        CANCEL,
        PAUSE,
        RESUME,
        KILL,
        REPLACE,
        CUT,
        CUT_LOG,
        CUT_ZONES,
        HEAL,
        HOLD_MESSAGES,
        RELEASE_MESSAGES,
        RELAY
    }
}
