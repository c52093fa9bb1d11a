package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;

/**
 * Checks every simulated state against the actual state of the hosts, with rules of its own that share no code with the
 * planners. A service below its budget is a violation if planned work contributes to the shortage and the failures
 * since the last planned removal from its pool do not exceed the failure that the budget covers. The detection time, in
 * which a failure or a return cannot be known yet, is subtracted from the time of that removal. Shortages for other
 * reasons are counted separately. For use by one thread.
 */
final class OutcomeOracle {
    private static final long DETECTION_MILLISECONDS = 45_000;
    private static final int MAX_VIOLATION_TEXTS = 10;

    private final SimulatedHosts hosts;
    private final Map<PoolName, Long> lastPlannedRemoval = new HashMap<>();
    private final Set<Long> carelessMoves = new HashSet<>();
    private final Set<String> openViolations = new HashSet<>();
    private final List<String> violationTexts = new ArrayList<>();
    private long checkedOffset;
    private int violations;
    private int moves;
    private long unplannedMilliseconds;
    private long beyondCoverMilliseconds;

    OutcomeOracle(SimulatedHosts hosts) {
        this.hosts = hosts;
    }

    int violations() {
        return violations;
    }

    List<String> violationTexts() {
        return violationTexts;
    }

    int moves() {
        return moves;
    }

    long unplannedMilliseconds() {
        return unplannedMilliseconds;
    }

    long beyondCoverMilliseconds() {
        return beyondCoverMilliseconds;
    }

    /** Checks the state after all processes have acted in a step. */
    void checkState(BenchLog log, List<BenchProcess> runningProcesses, long now, long stepMilliseconds) {
        readNewEntries(log);
        checkBudgets(log.newestState(), now, stepMilliseconds);
        checkPlacement(runningProcesses, now);
    }

    /** Checks that no running process has requests in flight on a host whose reboot starts. */
    void checkReboot(HostName host, List<BenchProcess> runningProcesses, long now) {
        for (BenchProcess process : runningProcesses) {
            if (process.hasInFlight(host, now)) {
                recordViolation("reboot " + host, now, "the host " + host + " was rebooted under requests in flight");
            }
        }
    }

    /** Checks that at most one of two changes that expect the same version was accepted. */
    void checkRace(boolean isFirstAccepted, boolean isSecondAccepted, long now) {
        if (isFirstAccepted && isSecondAccepted) {
            recordViolation("race", now, "two racing changes of one wave were both accepted");
        }
    }

    private void readNewEntries(BenchLog log) {
        for (BenchLog.Entry entry : log.entriesAfter(checkedOffset)) {
            SharedState previousState = log.stateAt(checkedOffset);
            checkedOffset++;
            if (!entry.isAccepted()) {
                continue;
            }
            Command command = entry.command();
            if (command instanceof FleetCommand.Assign assign) {
                assign.moves().forEach(move -> countMove(previousState, log.stateAt(checkedOffset), move));
            }
            if (command instanceof MaintenanceCommand.Grant grant) {
                recordPlannedRemoval(previousState, grant.host(), entry.timeMilliseconds());
            }
            if (command instanceof FleetCommand.Withdraw withdraw) {
                if (entry.writer().equals(ScenarioSimulation.OPERATOR)) {
                    carelessMoves.add(checkedOffset);
                }
                recordPlannedRemoval(previousState, withdraw.host(), entry.timeMilliseconds());
            }
        }
    }

    /** Counts a host that changed its pool, unless a careless command started the move. */
    private void countMove(SharedState previousState, SharedState newState, FleetCommand.HostMove move) {
        PoolName previousPool = previousState.hosts().get(move.host()).pool();
        boolean hasChangedPool = !newState.hosts().get(move.host()).pool().equals(previousPool);
        moves += hasChangedPool && !carelessMoves.contains(move.moveVersion()) ? 1 : 0;
    }

    private void recordPlannedRemoval(SharedState previousState, HostName name, long time) {
        HostState host = previousState.hosts().get(name);
        if (host.isAvailable()) {
            lastPlannedRemoval.put(host.pool(), time);
        }
    }

    private void checkBudgets(SharedState state, long now, long stepMilliseconds) {
        Map<PoolName, List<HostState>> hostsByPool = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            hostsByPool
                    .computeIfAbsent(host.pool(), unused -> new ArrayList<>())
                    .add(host);
        }
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            List<HostState> poolHosts = hostsByPool.getOrDefault(service.pool(), List.of());
            long available = poolHosts.stream().filter(this::isServing).count();
            String key = "budget " + service.name();
            int minimumAvailable =
                    service.budget().promisedHosts() - service.budget().maximumUnavailable();
            if (available >= minimumAvailable) {
                openViolations.remove(key);
                continue;
            }
            boolean isWorkPlanned = poolHosts.size() < service.budget().promisedHosts()
                    || poolHosts.stream().anyMatch(OutcomeOracle::isPlannedAway);
            if (!isWorkPlanned) {
                unplannedMilliseconds += stepMilliseconds;
            } else if (isBeyondCover(service, poolHosts)) {
                beyondCoverMilliseconds += stepMilliseconds;
            } else {
                recordViolation(
                        key,
                        now,
                        "the service " + service.name() + " has " + available + " hosts of at least "
                                + minimumAvailable);
            }
        }
    }

    private boolean isServing(HostState host) {
        return hosts.isWorking(host.name())
                && host.health().isAvailable()
                && host.maintenance() == MaintenanceStep.NONE
                && host.move().isEmpty();
    }

    private static boolean isPlannedAway(HostState host) {
        return host.maintenance() != MaintenanceStep.NONE || host.move().isPresent();
    }

    private boolean isBeyondCover(ServiceDefinition service, List<HostState> poolHosts) {
        long earliestFailure = lastPlannedRemoval.getOrDefault(service.pool(), 0L) - DETECTION_MILLISECONDS;
        Set<RackName> racks = new HashSet<>();
        int failed = 0;
        for (HostState host : poolHosts) {
            if (hosts.wasAwayUnplanned(host.name(), DETECTION_MILLISECONDS)
                    && hosts.awaySince(host.name()) >= earliestFailure
                    && !isPlannedAway(host)) {
                racks.add(hosts.rack(host.name()));
                failed++;
            }
        }
        FailureCover cover = service.budget().cover();
        return switch (cover) {
            case NONE -> failed > 0;
            case HOST -> failed > 1;
            case RACK -> racks.size() > 1;
        };
    }

    /** Checks that no two processes may place work of different pools on one host. */
    private void checkPlacement(List<BenchProcess> runningProcesses, long now) {
        Map<HostName, PoolName> poolByHost = new HashMap<>();
        for (BenchProcess process : runningProcesses) {
            for (HostState host : process.view().hosts().values()) {
                if (!process.canPlaceWork(host, hosts)) {
                    continue;
                }
                PoolName otherPool = poolByHost.putIfAbsent(host.name(), host.pool());
                if (otherPool != null && !otherPool.equals(host.pool())) {
                    recordViolation(
                            "placement " + host.name(),
                            now,
                            "the host " + host.name() + " is used for " + otherPool + " and " + host.pool());
                }
            }
        }
    }

    private void recordViolation(String key, long now, String text) {
        if (!openViolations.add(key)) {
            return;
        }
        violations++;
        if (violationTexts.size() < MAX_VIOLATION_TEXTS) {
            violationTexts.add("at " + now / 1_000 + " s: " + text);
        }
    }
}
