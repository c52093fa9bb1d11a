package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.List;
import org.cicadalead.model.identity.HostName;

/** One step of a run: what happens, and two numbers that say to whom. */
record MoveSimulationStep(Kind kind, int first, int second) {
    private static final List<HostName> HOSTS = List.of(new HostName("east-1"), new HostName("west-1"));

    void applyTo(MoveSimulation world) {
        HostName host = HOSTS.get(Math.floorMod(second, HOSTS.size()));
        switch (kind) {
            case PASS -> world.advance(Duration.ofMillis(250L * (1 + Math.floorMod(first, 8))));
            case PASS_LONG -> world.advance(Duration.ofSeconds(4L * (1 + Math.floorMod(first, 4))));
            case CHOOSE ->
                world.process(first).chooseHost(MoveSimulation.POOLS.get(Math.floorMod(second, 2)), second / 2);
            case PROCEED -> world.process(first).advanceWork(second);
            case WITHDRAW -> world.withdraw(host, MoveSimulation.POOLS.get(Math.floorMod(first, 2)));
            case CANCEL -> world.cancel(host);
            case PAUSE -> world.process(first).isPaused = true;
            case RESUME -> world.process(first).isPaused = false;
            case KILL -> world.process(first).kill();
            case REPLACE -> world.startProcess(world.process(first).zone());
            case CUT -> world.disconnect(world.process(first), world.process(second));
            case CUT_LOG -> world.process(first).isLogUnreachable = true;
            case CUT_ZONES -> world.disconnectZones();
            case HEAL -> world.reconnectAll();
            case HOLD_MESSAGES -> world.setMessagesHeld(true);
            case RELEASE_MESSAGES -> world.setMessagesHeld(false);
            default -> world.process(first).relayFrom(world.process(second));
        }
    }

    /** What may happen. */
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
