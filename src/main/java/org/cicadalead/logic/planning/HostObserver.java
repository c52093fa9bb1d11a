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
 * Turns the platform's host list, which lags behind, and the outcomes of local requests into observations of host
 * health. A leaving host is observed at the first list that reports it; a return after two consecutive lists; a failure
 * after two consecutive lists, or after one if local requests to the host fail as well. All confirmed observations go
 * into one record. A list that lacks more than half of the hosts is treated as faulty, and a failure that it shows
 * needs local confirmation. A return needs no local success, as no request is sent to a host that is down. Immutable:
 * each list gives the next observer.
 */
public final class HostObserver {
    /** Number of consecutive lists that must agree before a failure or a return is observed. */
    static final int REQUIRED_CONSECUTIVE_LISTS = 2;

    private final PMap<HostName, PendingObservation> pendingByHost;

    private HostObserver(PMap<HostName, PendingObservation> pendingByHost) {
        this.pendingByHost = pendingByHost;
    }

    /** Returns an observer that has processed no list yet. */
    public static HostObserver initial() {
        return new HostObserver(HashTreePMap.empty());
    }

    /**
     * Processes one host list.
     *
     * @param state the newest shared state
     * @param listed health of each host on the platform's list; a host that is missing counts as down
     * @param locallyFailing hosts to which requests of this process fail
     */
    public Observation observe(SharedState state, Map<HostName, HostHealth> listed, Set<HostName> locallyFailing) {
        boolean plausible = isPlausible(state, listed);
        PMap<HostName, PendingObservation> nextPending = HashTreePMap.empty();
        List<HostObservation> confirmedObservations = new ArrayList<>();
        Set<HostName> suspects = new HashSet<>();
        Set<HostName> leaving = new HashSet<>();
        for (HostState host : state.hosts().values()) {
            HostHealth listedHealth = listed.getOrDefault(host.name(), HostHealth.DOWN);
            boolean failsLocally = locallyFailing.contains(host.name());
            if (listedHealth == HostHealth.LEAVING) {
                leaving.add(host.name());
            }
            if (listedHealth == HostHealth.DOWN || failsLocally) {
                suspects.add(host.name());
            }
            if (listedHealth == host.health() || isExpectedToBeDown(host, listedHealth)) {
                continue;
            }
            PendingObservation pending = PendingObservation.from(pendingByHost.get(host.name()), listedHealth);
            nextPending = nextPending.plus(host.name(), pending);
            if (pending.isConfirmed(plausible, failsLocally)) {
                confirmedObservations.add(new HostObservation(host.name(), host.version(), listedHealth));
            }
        }
        Optional<FleetCommand.Observe> command = confirmedObservations.isEmpty()
                ? Optional.empty()
                : Optional.of(new FleetCommand.Observe(confirmedObservations));
        return new Observation(new HostObserver(nextPending), command, suspects, leaving);
    }

    private static boolean isPlausible(SharedState state, Map<HostName, HostHealth> listed) {
        long listedHosts =
                state.hosts().keySet().stream().filter(listed::containsKey).count();
        return listedHosts * 2 >= state.hosts().size();
    }

    /** Tells whether a host is missing from the list because of its reboot and not because of a failure. */
    private static boolean isExpectedToBeDown(HostState host, HostHealth listedHealth) {
        return listedHealth == HostHealth.DOWN
                && (host.maintenance() == MaintenanceStep.REBOOTING || host.maintenance() == MaintenanceStep.VERIFYING);
    }

    /**
     * Result of one host list. Immutable.
     *
     * @param nextObserver the observer for the next list
     * @param command the confirmed observations, in one record; empty if there are none
     * @param suspects hosts that the planners must not count as available
     * @param leaving hosts that are listed as leaving; this process sends them no new work, even before the log records
     *     it
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
        static PendingObservation from(
                @org.jspecify.annotations.Nullable PendingObservation previous, HostHealth listedHealth) {
            boolean isRepeated = previous != null && previous.health == listedHealth;
            return new PendingObservation(listedHealth, isRepeated ? previous.consecutiveLists + 1 : 1);
        }

        boolean isConfirmed(boolean plausible, boolean failsLocally) {
            return switch (health) {
                case LEAVING -> true;
                case UP -> consecutiveLists >= REQUIRED_CONSECUTIVE_LISTS;
                case DOWN -> failsLocally || (plausible && consecutiveLists >= REQUIRED_CONSECUTIVE_LISTS);
            };
        }
    }
}
