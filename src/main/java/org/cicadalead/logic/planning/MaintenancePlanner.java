package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.logic.capacity.CapacityIndex;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WaveHost;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/**
 * Plans which hosts are granted to running maintenance waves. A grant is proposed only if every budget still holds
 * after it, with the hosts that this process suspects counted as failed. Hosts are taken rack by rack where budgets
 * allow. A wave starts with few hosts at once and takes more with each host that has returned. Each instance plans one
 * cycle and must be used by one thread only.
 */
public final class MaintenancePlanner {
    /** Maximum number of hosts that a wave has in maintenance before the first one has returned. */
    static final int INITIAL_MAX_HOSTS = 3;

    /** Number by which that maximum grows with each host that has returned. */
    static final int ADDITIONAL_HOSTS_PER_RETURN = 2;

    private final PlanningInput input;
    private final SharedState state;
    private final Set<HostName> excludedHosts;
    private final Map<PoolName, Integer> hostsInMaintenanceByPool = new HashMap<>();
    private final Set<RackName> racksInMaintenance = new HashSet<>();
    private final List<Decision> decisions = new ArrayList<>();
    private CapacityIndex index;
    private int hostsInMaintenance;

    private MaintenancePlanner(PlanningInput input) {
        this.input = input;
        this.state = input.state();
        this.excludedHosts = input.excludedHosts();
        this.index = CapacityIndex.of(state, excludedHosts);
        for (HostState host : state.hosts().values()) {
            if (host.maintenance() != MaintenanceStep.NONE) {
                recordHostInMaintenance(host);
            }
        }
    }

    /** Plans one cycle. */
    public static List<Decision> plan(PlanningInput input) {
        MaintenancePlanner planner = new MaintenancePlanner(input);
        planner.state.waves().values().stream()
                .filter(wave -> wave.phase().canGrant())
                .sorted(Comparator.comparingLong(WaveState::periodMilliseconds)
                        .thenComparing(WaveState::version)
                        .thenComparing(WaveState::wave))
                .forEach(planner::planWave);
        return planner.decisions;
    }

    private void planWave(WaveState wave) {
        Optional<Decision> stop = planStopOrRefresh(wave);
        if (stop.isPresent()) {
            decisions.add(stop.get());
            return;
        }
        int limit =
                Math.min(remainingGrants(wave), input.policy().maximumHostsInMaintenanceInFleet() - hostsInMaintenance);
        if (limit <= 0) {
            if (wave.countHosts(WaveHostProgress.WAITING) > 0) {
                reportWithheldGrants(wave, findWaitReason(wave));
            }
            return;
        }
        Optional<String> firstReason = Optional.empty();
        int granted = 0;
        for (Candidate candidate : sortWaitingHosts(wave)) {
            if (granted >= limit) {
                break;
            }
            HostState host = candidate.host();
            Optional<String> reason = findReasonAgainstGrant(host);
            if (reason.isPresent()) {
                firstReason = firstReason.or(() -> Optional.of(host.name() + ": " + reason.get()));
                continue;
            }
            grant(wave, host);
            granted++;
        }
        if (granted == 0) {
            firstReason.ifPresent(reason -> reportWithheldGrants(wave, reason));
        }
    }

    private void reportWithheldGrants(WaveState wave, String reason) {
        decisions.add(Decision.toWait(
                EventKind.MAINTENANCE_WITHHELD,
                wave.wave(),
                EventDetail.of("reason", reason),
                EventDetail.of("offset", state.offset())));
    }

    /**
     * Plans to stop a wave whose hosts failed after their return, and to refresh one that waits for hosts that have
     * left the fleet.
     */
    private Optional<Decision> planStopOrRefresh(WaveState wave) {
        int failedAgain = 0;
        boolean hasMissingHosts = false;
        for (Map.Entry<HostName, WaveHost> entry : wave.hosts().entrySet()) {
            HostState host = state.hosts().get(entry.getKey());
            hasMissingHosts |= host == null && !entry.getValue().progress().isTerminal();
            if (host != null
                    && entry.getValue().progress() == WaveHostProgress.DONE
                    && host.health() == HostHealth.DOWN) {
                failedAgain++;
            }
        }
        if (failedAgain > wave.maximumFailures()) {
            return Optional.of(
                    createChange(wave, WaveChange.STOP, failedAgain + " hosts failed after they had come back"));
        }
        return hasMissingHosts
                ? Optional.of(createChange(wave, WaveChange.REFRESH, "hosts have left the fleet"))
                : Optional.empty();
    }

    private Decision createChange(WaveState wave, WaveChange change, String reason) {
        return Decision.toAppend(
                new MaintenanceCommand.Change(wave.wave(), wave.version(), change),
                EventKind.WAVE_CHANGED,
                wave.wave(),
                EventDetail.of("change", change),
                EventDetail.of("reason", reason),
                EventDetail.of("offset", state.offset()));
    }

    /**
     * Returns how many more hosts the wave may take now, limited by the number of hosts in maintenance and by its
     * schedule.
     */
    private int remainingGrants(WaveState wave) {
        int underWay = wave.countHosts(WaveHostProgress.UNDER_WAY);
        int completed = wave.countHosts(WaveHostProgress.DONE);
        int allowedByWidth = INITIAL_MAX_HOSTS + ADDITIONAL_HOSTS_PER_RETURN * completed - underWay;
        return Math.min(allowedByWidth, hostsDueNow(wave));
    }

    private int hostsDueNow(WaveState wave) {
        return hostsDueAt(wave, input.nowMilliseconds());
    }

    /** Tells whether a wave is due to take another host at a given time. */
    static boolean hasHostsDue(WaveState wave, long nowMilliseconds) {
        return hostsDueAt(wave, nowMilliseconds) > 0;
    }

    /** Returns by how many hosts a wave is behind its schedule; unlimited for a wave without a period. */
    private static int hostsDueAt(WaveState wave, long nowMilliseconds) {
        if (wave.periodMilliseconds() == 0) {
            return Integer.MAX_VALUE;
        }
        double elapsed = (double) (nowMilliseconds - wave.startedMilliseconds()) / wave.periodMilliseconds();
        int due = (int)
                Math.floor(Math.min(1, Math.max(0, elapsed)) * wave.hosts().size());
        return due - (wave.hosts().size() - wave.countHosts(WaveHostProgress.WAITING));
    }

    private String findWaitReason(WaveState wave) {
        if (hostsInMaintenance >= input.policy().maximumHostsInMaintenanceInFleet()) {
            return "the policy has no more hosts out at once";
        }
        return hostsDueNow(wave) <= 0
                ? "the wave is spread over its period and is not behind"
                : "the wave widens when the hosts under way have come back";
    }

    /**
     * Returns the waiting hosts in the order of grants: hosts on a rack that already has one in maintenance first, then
     * hosts on the racks with the most available hosts of their pool.
     */
    private List<Candidate> sortWaitingHosts(WaveState wave) {
        List<Candidate> waiting = new ArrayList<>();
        wave.hosts().forEach((name, waveHost) -> {
            HostState host = state.hosts().get(name);
            if (host != null && waveHost.progress() == WaveHostProgress.WAITING) {
                RackName rack = rackOf(host);
                int availableOnRack = index.pool(host.pool()).availableByRack().getOrDefault(rack, 0);
                waiting.add(new Candidate(host, rack, racksInMaintenance.contains(rack), availableOnRack));
            }
        });
        waiting.sort(Comparator.comparing((Candidate candidate) -> !candidate.rackInMaintenance())
                .thenComparing(
                        Comparator.comparingInt(Candidate::availableOnRack).reversed())
                .thenComparing(Candidate::rack)
                .thenComparing(candidate -> candidate.host().name()));
        return waiting;
    }

    private Optional<String> findReasonAgainstGrant(HostState host) {
        if (host.maintenance() != MaintenanceStep.NONE) {
            return Optional.of("it is under maintenance in another wave");
        }
        if (host.move().isPresent()) {
            return Optional.of("it is moving to the pool '" + host.move().get().destination() + "'");
        }
        if (host.health() == HostHealth.LEAVING) {
            return Optional.of("it is leaving");
        }
        if (hostsInMaintenanceByPool.getOrDefault(host.pool(), 0)
                >= input.policy().maximumHostsInMaintenance(index.pool(host.pool()))) {
            return Optional.of("the policy has no more hosts out at once");
        }
        if (!host.isAvailable()) {
            return index.pool(host.pool()).findBudgetViolation();
        }
        if (excludedHosts.contains(host.name())) {
            return Optional.of("it fails here, and the log does not say so yet");
        }
        return findSparePoolReason(host).or(() -> index.findBudgetViolationAfterRemoval(host));
    }

    /**
     * Returns why a host must stay in its spare pool; at least half of a spare pool stays available, as no budget
     * protects it.
     */
    private Optional<String> findSparePoolReason(HostState host) {
        boolean isSpare =
                state.configuration().merged().pools().get(host.pool()).spare();
        int available = index.pool(host.pool()).available();
        int members = index.pool(host.pool()).members();
        return isSpare && (available - 1) * 2 < members - 1
                ? Optional.of("half of the spare pool stays")
                : Optional.empty();
    }

    private void grant(WaveState wave, HostState host) {
        decisions.add(Decision.toAppend(
                new MaintenanceCommand.Grant(wave.wave(), host.name(), host.version()),
                EventKind.MAINTENANCE_GRANTED,
                wave.wave(),
                EventDetail.of("host", host.name()),
                EventDetail.of("pool", host.pool()),
                EventDetail.of("slack", index.pool(host.pool()).slack()),
                EventDetail.of("offset", state.offset())));
        if (host.isAvailable()) {
            index = index.withoutHost(host);
        }
        recordHostInMaintenance(host);
    }

    private void recordHostInMaintenance(HostState host) {
        hostsInMaintenance++;
        hostsInMaintenanceByPool.merge(host.pool(), 1, Integer::sum);
        racksInMaintenance.add(rackOf(host));
    }

    private RackName rackOf(HostState host) {
        return state.configuration().merged().hosts().get(host.name()).rack();
    }

    private record Candidate(HostState host, RackName rack, boolean rackInMaintenance, int availableOnRack) {}
}
