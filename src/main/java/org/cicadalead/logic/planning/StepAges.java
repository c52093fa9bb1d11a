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
 * Records how long each host has been at its current step of a move or of maintenance, by the clock of this process.
 * The fold has no clock, so each process measures timeouts itself. Immutable.
 */
public final class StepAges {
    private final PMap<HostName, ObservedStep> stepsByHost;
    private final long nowMilliseconds;

    private StepAges(PMap<HostName, ObservedStep> stepsByHost, long nowMilliseconds) {
        this.stepsByHost = stepsByHost;
        this.nowMilliseconds = nowMilliseconds;
    }

    /** Returns ages without any observed step. */
    public static StepAges initial() {
        return new StepAges(HashTreePMap.empty(), 0);
    }

    /** Returns the ages updated from a state and the current time. */
    public StepAges withStateAt(SharedState state, long newNowMilliseconds) {
        PMap<HostName, ObservedStep> nextSteps = HashTreePMap.empty();
        for (HostState host : state.hosts().values()) {
            if (host.maintenance() == MaintenanceStep.NONE && host.move().isEmpty()) {
                continue;
            }
            Step step = new Step(
                    host.maintenance(), host.move().map(move -> move.version()).orElse(0L));
            ObservedStep previous = stepsByHost.get(host.name());
            boolean isUnchanged = previous != null && previous.step.equals(step);
            nextSteps =
                    nextSteps.plus(host.name(), isUnchanged ? previous : new ObservedStep(step, newNowMilliseconds));
        }
        return new StepAges(nextSteps, newNowMilliseconds);
    }

    /** Returns for how many milliseconds a host has been at its current step; 0 for a host without one. */
    public long ageMilliseconds(HostName host) {
        ObservedStep step = stepsByHost.get(host);
        return step == null ? 0 : nowMilliseconds - step.sinceMilliseconds;
    }

    /**
     * Returns, for each pool, the host whose move into it has taken longest, if it exceeds a timeout. Only one host per
     * pool is returned: the cause of the delay, such as a member that cannot be reached, would delay moves of
     * substitutes as well.
     */
    public Set<HostName> findLateMoves(SharedState state, long timeoutMilliseconds) {
        Map<PoolName, HostName> oldest = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (host.move().isEmpty() || ageMilliseconds(host.name()) <= timeoutMilliseconds) {
                continue;
            }
            PoolName destination = host.move().get().destination();
            HostName currentOldest = oldest.get(destination);
            if (currentOldest == null || ageMilliseconds(host.name()) > ageMilliseconds(currentOldest)) {
                oldest.put(destination, host.name());
            }
        }
        return new HashSet<>(oldest.values());
    }

    private record Step(MaintenanceStep maintenance, long moveVersion) {}

    private record ObservedStep(Step step, long sinceMilliseconds) {}
}
