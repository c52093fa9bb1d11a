package org.cicadalead.logic.planning;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How long a process has seen each host at its present step of a move or of maintenance, by its own clock. The fold has
 * no clock, so that each process measures patience by itself. Immutable.
 */
public final class StepAges {
    private final PMap<HostName, ObservedStep> stepsByHost;
    private final long nowMilliseconds;

    private StepAges(PMap<HostName, ObservedStep> seen, long nowMilliseconds) {
        this.stepsByHost = seen;
        this.nowMilliseconds = nowMilliseconds;
    }

    /** Returns ages before anything was seen. */
    public static StepAges initial() {
        return new StepAges(HashTreePMap.empty(), 0);
    }

    /** Returns the ages after looking at a state. */
    public StepAges withStateAt(SharedState state, long newNowMilliseconds) {
        PMap<HostName, ObservedStep> next = HashTreePMap.empty();
        for (HostState host : state.hosts().values()) {
            if (host.maintenance() == MaintenanceStep.NONE && host.move().isEmpty()) {
                continue;
            }
            Step step = new Step(
                    host.maintenance(), host.move().map(move -> move.version()).orElse(0L));
            ObservedStep earlier = stepsByHost.get(host.name());
            boolean same = earlier != null && earlier.step.equals(step);
            next = next.plus(host.name(), same ? earlier : new ObservedStep(step, newNowMilliseconds));
        }
        return new StepAges(next, newNowMilliseconds);
    }

    /** Returns for how many milliseconds a host has been at its step; 0 for a host at none. */
    public long ageMilliseconds(HostName host) {
        ObservedStep found = stepsByHost.get(host);
        return found == null ? 0 : nowMilliseconds - found.sinceMilliseconds;
    }

    /**
     * Returns the oldest host that moves into each pool and has taken longer than a time. Only one a pool: what holds
     * one move up, such as a member that cannot be reached, would hold up its substitutes as well.
     */
    public Set<HostName> findLateMoves(SharedState state, long milliseconds) {
        Map<PoolName, HostName> oldest = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (host.move().isEmpty() || ageMilliseconds(host.name()) <= milliseconds) {
                continue;
            }
            PoolName destination = host.move().get().destination();
            HostName other = oldest.get(destination);
            if (other == null || ageMilliseconds(host.name()) > ageMilliseconds(other)) {
                oldest.put(destination, host.name());
            }
        }
        return new HashSet<>(oldest.values());
    }

    private record Step(MaintenanceStep maintenance, long moveVersion) {}

    private record ObservedStep(Step step, long sinceMilliseconds) {}
}
