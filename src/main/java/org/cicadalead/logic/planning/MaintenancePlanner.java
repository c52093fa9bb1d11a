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
 * Decides which hosts are granted to running maintenance waves. A grant is proposed only while every budget survives it
 * with the hosts that this process suspects counted as failed. Hosts are taken rack by rack where budgets allow; a wave
 * starts narrow and widens with each host that came back. One planner plans one round; for use by one thread.
 */
public final class MaintenancePlanner {
    /** Hosts that a wave may have out before any has come back. */
    static final int FIRST_HOSTS = 3;

    /** Further hosts that a wave may have out for each host that has come back. */
    static final int HOSTS_PER_RETURN = 2;

    private final PlanningInput input;
    private final SharedState state;
    private final Set<HostName> uncounted;
    private final Map<PoolName, Integer> maintainedByPool = new HashMap<>();
    private final Set<RackName> racksUnderWay = new HashSet<>();
    private final List<Decision> decisions = new ArrayList<>();
    private CapacityIndex index;
    private int maintained;

    private MaintenancePlanner(PlanningInput input) {
        this.input = input;
        this.state = input.state();
        this.uncounted = input.uncounted();
        this.index = CapacityIndex.of(state, uncounted);
        for (HostState host : state.hosts().values()) {
            if (host.maintenance() != MaintenanceStep.NONE) {
                note(host);
            }
        }
    }

    /** Plans one round. */
    public static List<Decision> plan(PlanningInput input) {
        MaintenancePlanner planner = new MaintenancePlanner(input);
        planner.state.waves().values().stream()
                .filter(wave -> wave.phase().isGranting())
                .sorted(Comparator.comparingLong(WaveState::periodMilliseconds)
                        .thenComparing(WaveState::version)
                        .thenComparing(WaveState::wave))
                .forEach(planner::planWave);
        return planner.decisions;
    }

    private void planWave(WaveState wave) {
        Optional<Decision> stop = stopOf(wave);
        if (stop.isPresent()) {
            decisions.add(stop.get());
            return;
        }
        int open = Math.min(openGrants(wave), input.policy().maximumMaintainedInFleet() - maintained);
        if (open <= 0) {
            if (wave.countHosts(WaveHostProgress.WAITING) > 0) {
                withhold(wave, waitReason(wave));
            }
            return;
        }
        Optional<String> firstReason = Optional.empty();
        int granted = 0;
        for (Candidate candidate : waitingHosts(wave)) {
            if (granted >= open) {
                break;
            }
            HostState host = candidate.host();
            Optional<String> objection = objection(host);
            if (objection.isPresent()) {
                firstReason = firstReason.or(() -> Optional.of(host.name() + ": " + objection.get()));
                continue;
            }
            grant(wave, host);
            granted++;
        }
        if (granted == 0) {
            firstReason.ifPresent(reason -> withhold(wave, reason));
        }
    }

    private void withhold(WaveState wave, String reason) {
        decisions.add(Decision.wait(
                EventKind.MAINTENANCE_WITHHELD,
                wave.wave(),
                EventDetail.of("reason", reason),
                EventDetail.of("offset", state.offset())));
    }

    /** A wave whose hosts came back and then failed is stopped; one that waits for hosts that left is refreshed. */
    private Optional<Decision> stopOf(WaveState wave) {
        int failedAgain = 0;
        boolean missing = false;
        for (Map.Entry<HostName, WaveHost> entry : wave.hosts().entrySet()) {
            HostState host = state.hosts().get(entry.getKey());
            missing |= host == null && !entry.getValue().progress().isTerminal();
            if (host != null
                    && entry.getValue().progress() == WaveHostProgress.DONE
                    && host.health() == HostHealth.DOWN) {
                failedAgain++;
            }
        }
        if (failedAgain > wave.maximumFailures()) {
            return Optional.of(change(wave, WaveChange.STOP, failedAgain + " hosts failed after they had come back"));
        }
        return missing ? Optional.of(change(wave, WaveChange.REFRESH, "hosts have left the fleet")) : Optional.empty();
    }

    private Decision change(WaveState wave, WaveChange change, String reason) {
        return Decision.append(
                new MaintenanceCommand.Change(wave.wave(), wave.version(), change),
                EventKind.WAVE_CHANGED,
                wave.wave(),
                EventDetail.of("change", change),
                EventDetail.of("reason", reason),
                EventDetail.of("offset", state.offset()));
    }

    /** Returns how many more hosts the wave may take now by its width and its pace. */
    private int openGrants(WaveState wave) {
        int underWay = wave.countHosts(WaveHostProgress.UNDER_WAY);
        int done = wave.countHosts(WaveHostProgress.DONE);
        int byWidth = FIRST_HOSTS + HOSTS_PER_RETURN * done - underWay;
        return Math.min(byWidth, byPace(wave));
    }

    private int byPace(WaveState wave) {
        return dueHosts(wave, input.nowMilliseconds());
    }

    /** Tells whether a wave wants another host out at a time. */
    static boolean isDue(WaveState wave, long nowMilliseconds) {
        return dueHosts(wave, nowMilliseconds) > 0;
    }

    /** Returns how many hosts a wave is behind its pace. */
    private static int dueHosts(WaveState wave, long nowMilliseconds) {
        if (wave.periodMilliseconds() == 0) {
            return Integer.MAX_VALUE;
        }
        double elapsed = (double) (nowMilliseconds - wave.startedMilliseconds()) / wave.periodMilliseconds();
        int due = (int)
                Math.floor(Math.min(1, Math.max(0, elapsed)) * wave.hosts().size());
        return due - (wave.hosts().size() - wave.countHosts(WaveHostProgress.WAITING));
    }

    private String waitReason(WaveState wave) {
        if (maintained >= input.policy().maximumMaintainedInFleet()) {
            return "the policy has no more hosts out at once";
        }
        return byPace(wave) <= 0
                ? "the wave is spread over its period and is not behind"
                : "the wave widens when the hosts under way have come back";
    }

    /** Hosts on a rack that already has one out come first, then hosts on the racks that crowd their pool most. */
    private List<Candidate> waitingHosts(WaveState wave) {
        List<Candidate> waiting = new ArrayList<>();
        wave.hosts().forEach((name, waveHost) -> {
            HostState host = state.hosts().get(name);
            if (host != null && waveHost.progress() == WaveHostProgress.WAITING) {
                RackName rack = rackOf(host);
                int crowding = index.pool(host.pool()).availableByRack().getOrDefault(rack, 0);
                waiting.add(new Candidate(host, rack, racksUnderWay.contains(rack), crowding));
            }
        });
        waiting.sort(Comparator.comparing((Candidate candidate) -> !candidate.rackUnderWay())
                .thenComparing(Comparator.comparingInt(Candidate::crowding).reversed())
                .thenComparing(Candidate::rack)
                .thenComparing(candidate -> candidate.host().name()));
        return waiting;
    }

    private Optional<String> objection(HostState host) {
        if (host.maintenance() != MaintenanceStep.NONE) {
            return Optional.of("it is under maintenance in another wave");
        }
        if (host.move().isPresent()) {
            return Optional.of("it is moving to the pool '" + host.move().get().destination() + "'");
        }
        if (host.health() == HostHealth.LEAVING) {
            return Optional.of("it is leaving");
        }
        if (maintainedByPool.getOrDefault(host.pool(), 0)
                >= input.policy().maximumMaintained(index.pool(host.pool()))) {
            return Optional.of("the policy has no more hosts out at once");
        }
        if (!host.isAvailable()) {
            return index.pool(host.pool()).objection();
        }
        if (uncounted.contains(host.name())) {
            return Optional.of("it fails here, and the log does not say so yet");
        }
        return spareObjection(host).or(() -> index.objectionToRemoval(host));
    }

    /** Half of a spare pool stays, as no budget protects it. */
    private Optional<String> spareObjection(HostState host) {
        boolean spare = state.configuration().merged().pools().get(host.pool()).spare();
        int available = index.pool(host.pool()).available();
        int members = index.pool(host.pool()).members();
        return spare && (available - 1) * 2 < members - 1
                ? Optional.of("half of the spare pool stays")
                : Optional.empty();
    }

    private void grant(WaveState wave, HostState host) {
        decisions.add(Decision.append(
                new MaintenanceCommand.Grant(wave.wave(), host.name(), host.version()),
                EventKind.MAINTENANCE_GRANTED,
                wave.wave(),
                EventDetail.of("host", host.name()),
                EventDetail.of("pool", host.pool()),
                EventDetail.of("slack", index.pool(host.pool()).slack()),
                EventDetail.of("offset", state.offset())));
        if (host.isAvailable()) {
            index = index.without(host);
        }
        note(host);
    }

    private void note(HostState host) {
        maintained++;
        maintainedByPool.merge(host.pool(), 1, Integer::sum);
        racksUnderWay.add(rackOf(host));
    }

    private RackName rackOf(HostState host) {
        return state.configuration().merged().hosts().get(host.name()).rack();
    }

    private record Candidate(HostState host, RackName rack, boolean rackUnderWay, int crowding) {}
}
