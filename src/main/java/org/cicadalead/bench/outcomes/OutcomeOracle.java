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
 * Judges each moment by what the hosts really do, with rules of its own and none of the planners' code. A service short
 * of its budget is a violation when planned work has a part in it and what has failed since the last planned removal in
 * its pool (less the time in which a failure or return cannot be known) is no more than the failure that the budget
 * covers. Short for other reasons is counted apart. For use by one thread.
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

    /** Judges the moment after all processes have acted. */
    void checkState(BenchLog log, List<BenchProcess> running, long now, long stepMilliseconds) {
        readNewEntries(log);
        checkBudgets(log.newestState(), now, stepMilliseconds);
        checkPlacement(running, now);
    }

    /** A reboot may only start when no process that runs has requests in flight on the host. */
    void checkReboot(HostName host, List<BenchProcess> running, long now) {
        for (BenchProcess process : running) {
            if (process.hasInFlight(host, now)) {
                recordViolation("reboot " + host, now, "the host " + host + " was rebooted under requests in flight");
            }
        }
    }

    /** Of two changes of the same version only one may be accepted. */
    void checkRace(boolean first, boolean second, long now) {
        if (first && second) {
            recordViolation("race", now, "two racing changes of one wave were both accepted");
        }
    }

    private void readNewEntries(BenchLog log) {
        for (BenchLog.Entry entry : log.entriesAfter(checkedOffset)) {
            SharedState before = log.stateAt(checkedOffset);
            checkedOffset++;
            if (!entry.isAccepted()) {
                continue;
            }
            Command command = entry.command();
            if (command instanceof FleetCommand.Assign assign) {
                assign.moves().forEach(move -> countMove(before, log.stateAt(checkedOffset), move));
            }
            if (command instanceof MaintenanceCommand.Grant grant) {
                recordPlannedRemoval(before, grant.host(), entry.timeMilliseconds());
            }
            if (command instanceof FleetCommand.Withdraw withdraw) {
                if (entry.writer().equals(ScenarioSimulation.OPERATOR)) {
                    carelessMoves.add(checkedOffset);
                }
                recordPlannedRemoval(before, withdraw.host(), entry.timeMilliseconds());
            }
        }
    }

    /** Counts hosts that changed pool, unless it was a careless command that moved them. */
    private void countMove(SharedState before, SharedState after, FleetCommand.HostMove move) {
        PoolName old = before.hosts().get(move.host()).pool();
        boolean changed = !after.hosts().get(move.host()).pool().equals(old);
        moves += changed && !carelessMoves.contains(move.moveVersion()) ? 1 : 0;
    }

    private void recordPlannedRemoval(SharedState before, HostName name, long time) {
        HostState host = before.hosts().get(name);
        if (host.isAvailable()) {
            lastPlannedRemoval.put(host.pool(), time);
        }
    }

    private void checkBudgets(SharedState state, long now, long stepMilliseconds) {
        Map<PoolName, List<HostState>> members = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            members.computeIfAbsent(host.pool(), unused -> new ArrayList<>()).add(host);
        }
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            List<HostState> pool = members.getOrDefault(service.pool(), List.of());
            long available = pool.stream().filter(this::isServing).count();
            String key = "budget " + service.name();
            int least = service.budget().promisedHosts() - service.budget().maximumUnavailable();
            if (available >= least) {
                openViolations.remove(key);
                continue;
            }
            boolean planned = pool.size() < service.budget().promisedHosts()
                    || pool.stream().anyMatch(OutcomeOracle::isPlannedAway);
            if (!planned) {
                unplannedMilliseconds += stepMilliseconds;
            } else if (isBeyondCover(service, pool)) {
                beyondCoverMilliseconds += stepMilliseconds;
            } else {
                recordViolation(
                        key,
                        now,
                        "the service " + service.name() + " has " + available + " hosts of at least " + least);
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

    private boolean isBeyondCover(ServiceDefinition service, List<HostState> pool) {
        long known = lastPlannedRemoval.getOrDefault(service.pool(), 0L) - DETECTION_MILLISECONDS;
        Set<RackName> racks = new HashSet<>();
        int failed = 0;
        for (HostState host : pool) {
            if (hosts.wasAwayUnplanned(host.name(), DETECTION_MILLISECONDS)
                    && hosts.awaySince(host.name()) >= known
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

    /** No two processes may place work of different pools on one host. */
    private void checkPlacement(List<BenchProcess> running, long now) {
        Map<HostName, PoolName> placed = new HashMap<>();
        for (BenchProcess process : running) {
            for (HostState host : process.view().hosts().values()) {
                if (!process.canPlaceWork(host, hosts)) {
                    continue;
                }
                PoolName earlier = placed.putIfAbsent(host.name(), host.pool());
                if (earlier != null && !earlier.equals(host.pool())) {
                    recordViolation(
                            "placement " + host.name(),
                            now,
                            "the host " + host.name() + " is used for " + earlier + " and " + host.pool());
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
