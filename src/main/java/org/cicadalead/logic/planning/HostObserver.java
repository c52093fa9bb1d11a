package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.FleetCommand.HostObservation;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.state.SharedState;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Turns the platform's lagging host list and local request outcomes into observations. A leaving host is observed at
 * the first list that says so; a failure or return after two lists in a row, or one that a local failure confirms. All
 * that is ripe goes into one record. A list that misses most of the fleet is taken for a fault of the list: its
 * failures need local confirmation. A return needs no local success, as a host that is down is sent no request to prove
 * itself by. Immutable: each list gives the next observer.
 */
public final class HostObserver {
    /** Lists in a row that must agree before a failure or a return is observed. */
    static final int REQUIRED_CONSECUTIVE_LISTS = 2;

    private final PMap<HostName, PendingObservation> pendingByHost;

    private HostObserver(PMap<HostName, PendingObservation> evidence) {
        this.pendingByHost = evidence;
    }

    /** Returns an observer that has seen no list. */
    public static HostObserver initial() {
        return new HostObserver(HashTreePMap.empty());
    }

    /**
     * Takes in one list.
     *
     * @param state the newest shared state
     * @param listed health of the hosts that the platform lists
     * @param failingHere hosts whose requests fail in this process
     */
    public Observation observe(SharedState state, Map<HostName, HostHealth> listed, Set<HostName> failingHere) {
        boolean plausible = isPlausible(state, listed);
        PMap<HostName, PendingObservation> next = HashTreePMap.empty();
        List<HostObservation> ripe = new ArrayList<>();
        Set<HostName> suspects = new HashSet<>();
        Set<HostName> leaving = new HashSet<>();
        for (HostState host : state.hosts().values()) {
            HostHealth seen = listed.getOrDefault(host.name(), HostHealth.DOWN);
            boolean confirmed = failingHere.contains(host.name());
            if (seen == HostHealth.LEAVING) {
                leaving.add(host.name());
            }
            if (seen == HostHealth.DOWN || confirmed) {
                suspects.add(host.name());
            }
            if (seen == host.health() || isExpectedToBeDown(host, seen)) {
                continue;
            }
            PendingObservation found = PendingObservation.from(pendingByHost.get(host.name()), seen);
            next = next.plus(host.name(), found);
            if (found.isConfirmed(plausible, confirmed)) {
                ripe.add(new HostObservation(host.name(), host.version(), seen));
            }
        }
        Optional<FleetCommand.Observe> command =
                ripe.isEmpty() ? Optional.empty() : Optional.of(new FleetCommand.Observe(ripe));
        return new Observation(new HostObserver(next), command, suspects, leaving);
    }

    private static boolean isPlausible(SharedState state, Map<HostName, HostHealth> listed) {
        long known = state.hosts().keySet().stream().filter(listed::containsKey).count();
        return known * 2 >= state.hosts().size();
    }

    /** A host that reboots is missing from the list without having failed. */
    private static boolean isExpectedToBeDown(HostState host, HostHealth seen) {
        return seen == HostHealth.DOWN
                && (host.maintenance() == MaintenanceStep.REBOOTING || host.maintenance() == MaintenanceStep.VERIFYING);
    }

    /**
     * What one list gave. Immutable.
     *
     * @param nextObserver the observer for the next list
     * @param command the observations that are ripe, in one record
     * @param suspects hosts that planners must not count on
     * @param leaving hosts that take no new work from this process, whether the log says so yet or not
     */
    public record Observation(
            HostObserver nextObserver,
            Optional<FleetCommand.Observe> command,
            Set<HostName> suspects,
            Set<HostName> leaving) {
        /** Copies the sets. */
        public Observation {
            suspects = Set.copyOf(suspects);
            leaving = Set.copyOf(leaving);
        }
    }

    private record PendingObservation(HostHealth health, int consecutiveLists) {
        static PendingObservation from(@org.jspecify.annotations.Nullable PendingObservation earlier, HostHealth seen) {
            boolean same = earlier != null && earlier.health == seen;
            return new PendingObservation(seen, same ? earlier.consecutiveLists + 1 : 1);
        }

        boolean isConfirmed(boolean plausible, boolean confirmed) {
            return switch (health) {
                case LEAVING -> true;
                case UP -> consecutiveLists >= REQUIRED_CONSECUTIVE_LISTS;
                case DOWN -> confirmed || (plausible && consecutiveLists >= REQUIRED_CONSECUTIVE_LISTS);
            };
        }
    }
}
