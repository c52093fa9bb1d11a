package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cicadalead.logic.capacity.CapacityIndex;
import org.cicadalead.logic.capacity.LargestRackFailure;
import org.cicadalead.logic.capacity.PoolCapacity;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/**
 * Decides moves of hosts between pools: first replacements for pools below their promise, the one most at risk first;
 * then loans to pools whose demand outlasts a move; then the refill of the spare pool. A host that is lent is called
 * back by a later replacement. One planner plans one round; for use by one thread.
 */
public final class CapacityPlanner {
    private final PlanningInput input;
    private final SharedState state;
    private final Set<HostName> excludedHosts;
    private final Map<PoolName, List<HostState>> movableHostsByPool = new HashMap<>();
    private final Map<PoolName, Map<RackName, Integer>> hostsByPoolAndRack = new HashMap<>();
    private final List<Decision> decisions = new ArrayList<>();
    private final int largestRackFailure;
    private CapacityIndex index;
    private int remainingMoves;

    private CapacityPlanner(PlanningInput input) {
        this.input = input;
        this.state = input.state();
        this.excludedHosts = input.excludedHosts();
        this.index = CapacityIndex.of(state, excludedHosts);
        this.largestRackFailure = LargestRackFailure.countHosts(state);
    }

    /** Plans one round. */
    public static List<Decision> plan(PlanningInput input) {
        CapacityPlanner planner = new CapacityPlanner(input);
        planner.collectMovableHosts();
        planner.planReplacements();
        planner.planMovesForBlockedWaves();
        if (input.policy().canLend(input.firstMeasure())) {
            planner.planLoans();
        }
        if (input.policy().canShareBetweenPools()) {
            planner.planSpareRefill();
        }
        return planner.decisions;
    }

    private void collectMovableHosts() {
        int moving = 0;
        for (HostState host : state.hosts().values()) {
            PoolName pool = host.move().map(HostMoveState::destination).orElse(host.pool());
            adjustRackCount(host, pool, 1);
            if (host.move().isPresent()) {
                moving++;
            } else if (host.isAvailable() && !excludedHosts.contains(host.name())) {
                movableHostsByPool
                        .computeIfAbsent(host.pool(), unused -> new ArrayList<>())
                        .add(host);
            }
        }
        remainingMoves = Math.max(0, input.policy().maximumMoves() - moving);
    }

    private void adjustRackCount(HostState host, PoolName pool, int count) {
        findDefinition(host).ifPresent(found -> hostsByPoolAndRack
                .computeIfAbsent(pool, unused -> new HashMap<>())
                .merge(found.rack(), count, Integer::sum));
    }

    private void planReplacements() {
        List<PoolCapacity> shortPools = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            if (missingHosts(pool) > 0) {
                shortPools.add(pool);
            }
        }
        shortPools.sort(Comparator.comparingInt(PoolCapacity::slack)
                .thenComparing(Comparator.comparingInt(this::missingHosts).reversed())
                .thenComparing(PoolCapacity::pool));
        for (PoolCapacity pool : shortPools) {
            planReplacementsFor(pool.pool());
        }
    }

    private void planReplacementsFor(PoolName pool) {
        while (missingHosts(index.pool(pool)) > 0) {
            Optional<HostState> host = remainingMoves > 0 ? findReplacement(index.pool(pool)) : Optional.empty();
            if (host.isEmpty()) {
                reportUnmetPromise(index.pool(pool));
                return;
            }
            planMove(host.get(), pool, EventKind.REPLACEMENT_PLANNED);
        }
    }

    /** For hosts that will be back soon only idle spare hosts are sent, as taking another pool's would move many. */
    private Optional<HostState> findReplacement(PoolCapacity pool) {
        boolean returning = pool.available() + pool.incoming() + pool.returning()
                >= input.policy().targetHosts(pool);
        return returning ? findIdleSpareHost(pool.pool(), 0) : findHostFor(pool.pool(), true);
    }

    /** A budget that a failure has cut into is reported; a buffer that is not full is not. */
    private void reportUnmetPromise(PoolCapacity pool) {
        int coming = pool.available() + pool.incoming() + pool.returning();
        if (coming < pool.promised()) {
            decisions.add(Decision.toWait(
                    EventKind.PROMISE_SHORT,
                    pool.pool(),
                    EventDetail.of("promised", pool.promised()),
                    EventDetail.of("available", pool.available()),
                    EventDetail.of("slack", pool.slack()),
                    EventDetail.of("offset", state.offset())));
        }
    }

    /**
     * Sends a host to a pool whose budgets let none of its hosts be maintained although the pool is whole: on a rack of
     * its own it leaves room for one to be out.
     */
    private void planMovesForBlockedWaves() {
        if (!input.policy().canShareBetweenPools()) {
            return;
        }
        for (PoolName pool : findPoolsWithWaitingHosts()) {
            PoolCapacity blocked = index.pool(pool);
            boolean idle = blocked.incoming() == 0 && blocked.returning() == 0;
            if (blocked.slack() <= 0 && idle && remainingMoves > 0) {
                findHostFor(pool, true)
                        .filter(host -> hostsByPoolAndRack.get(pool).getOrDefault(rackOf(host), 0)
                                < blocked.availableOnFullestRack())
                        .ifPresent(host -> planMove(host, pool, EventKind.LOAN_PLANNED));
            }
        }
    }

    private Set<PoolName> findPoolsWithWaitingHosts() {
        Set<PoolName> waiting = new TreeSet<>();
        for (WaveState wave : state.waves().values()) {
            if (wave.phase() != WavePhase.RUNNING || !MaintenancePlanner.hasHostsDue(wave, input.nowMilliseconds())) {
                continue;
            }
            wave.hosts().forEach((name, waveHost) -> {
                HostState host = state.hosts().get(name);
                if (host != null && waveHost.progress() == WaveHostProgress.WAITING && host.isAvailable()) {
                    waiting.add(host.pool());
                }
            });
        }
        return waiting;
    }

    private void planLoans() {
        List<PoolName> busy = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            if (pool.promised() > 0 && hostsMissingForDemand(pool) > 0) {
                busy.add(pool.pool());
            }
        }
        busy.sort(Comparator.naturalOrder());
        for (PoolName pool : busy) {
            while (hostsMissingForDemand(index.pool(pool)) > 0 && remainingMoves > 0) {
                Optional<HostState> host = findHostFor(pool, false);
                if (host.isEmpty()) {
                    return;
                }
                planMove(host.get(), pool, EventKind.LOAN_PLANNED);
            }
        }
    }

    private void planSpareRefill() {
        int reserve = input.policy().idleReserve(input.firstMeasure(), largestRackFailure);
        for (PoolCapacity spare : sparePools()) {
            int have = spare.available() + spare.incoming() + spare.returning();
            for (int missing = reserve - have; missing > 0 && remainingMoves > 0; missing--) {
                Optional<HostState> host = findSurplusHost(spare.pool());
                if (host.isEmpty()) {
                    return;
                }
                planMove(host.get(), spare.pool(), EventKind.RESERVE_REFILL_PLANNED);
            }
        }
    }

    /** Returns the host that serves a pool best: idle spare hosts first, then hosts beyond another pool's needs. */
    private Optional<HostState> findHostFor(PoolName pool, boolean promised) {
        int kept = promised ? 0 : input.policy().idleReserve(input.firstMeasure(), largestRackFailure);
        Optional<HostState> idle = findIdleSpareHost(pool, kept);
        if (idle.isPresent() || !input.policy().canShareBetweenPools()) {
            return idle;
        }
        return findSurplusHost(pool);
    }

    private Optional<HostState> findIdleSpareHost(PoolName pool, int kept) {
        List<HostState> idle = new ArrayList<>();
        for (PoolCapacity spare : sparePools()) {
            if (spare.available() > kept) {
                idle.addAll(movableHostsByPool.getOrDefault(spare.pool(), List.of()));
            }
        }
        return chooseBestPlacedHost(idle, pool);
    }

    private Optional<HostState> findSurplusHost(PoolName pool) {
        List<HostState> beyond = new ArrayList<>();
        for (PoolCapacity other : index.pools()) {
            boolean isOther = !other.pool().equals(pool) && !isSpare(other.pool());
            if (isOther && surplusHosts(other) > 0) {
                movableHostsByPool.getOrDefault(other.pool(), List.of()).stream()
                        .filter(host ->
                                index.findBudgetViolationAfterRemoval(host).isEmpty())
                        .forEach(beyond::add);
            }
        }
        return chooseBestPlacedHost(beyond, pool);
    }

    /**
     * A host on the rack, then in the zone, that the pool has fewest hosts on keeps one rack's loss small. Hosts that
     * are down or moving in count, as they will be back.
     */
    private Optional<HostState> chooseBestPlacedHost(List<HostState> candidates, PoolName pool) {
        Map<RackName, Integer> target = hostsByPoolAndRack.getOrDefault(pool, Map.of());
        Map<ZoneName, Integer> zones = new HashMap<>();
        for (HostState member : movableHostsByPool.getOrDefault(pool, List.of())) {
            findDefinition(member).ifPresent(found -> zones.merge(found.zone(), 1, Integer::sum));
        }
        return candidates.stream()
                .filter(host -> findDefinition(host).isPresent())
                .min(Comparator.<HostState>comparingInt(host -> target.getOrDefault(rackOf(host), 0))
                        .thenComparingInt(host -> zones.getOrDefault(
                                findDefinition(host).orElseThrow().zone(), 0))
                        .thenComparing(Comparator.comparingInt(this::availableHostsOnRackOf)
                                .reversed())
                        .thenComparing(HostState::name));
    }

    private int availableHostsOnRackOf(HostState host) {
        return index.pool(host.pool()).availableByRack().getOrDefault(rackOf(host), 0);
    }

    private void planMove(HostState host, PoolName destination, EventKind kind) {
        PoolCapacity target = index.pool(destination);
        decisions.add(Decision.toAppend(
                new FleetCommand.Withdraw(host.name(), host.version(), destination),
                kind,
                host.name(),
                EventDetail.of("from", host.pool()),
                EventDetail.of("to", destination),
                EventDetail.of("promised", target.promised()),
                EventDetail.of("available", target.available()),
                EventDetail.of("slack", target.slack()),
                EventDetail.of("offset", state.offset())));
        index = index.withMove(host, destination);
        movableHostsByPool.get(host.pool()).remove(host);
        adjustRackCount(host, host.pool(), -1);
        adjustRackCount(host, destination, 1);
        remainingMoves--;
    }

    private int missingHosts(PoolCapacity pool) {
        return input.policy().targetHosts(pool) - expectedHosts(pool);
    }

    private int expectedHosts(PoolCapacity pool) {
        boolean replaced = input.policy().canReplaceHostsInMaintenance(input.firstMeasure()) && hasUrgentWave();
        return pool.available() + pool.incoming() + (replaced ? 0 : pool.returning());
    }

    private boolean hasUrgentWave() {
        return state.waves().values().stream()
                .anyMatch(wave -> wave.phase() == WavePhase.RUNNING && wave.periodMilliseconds() == 0);
    }

    private int hostsMissingForDemand(PoolCapacity pool) {
        return input.sustainedDemand().getOrDefault(pool.pool(), 0) - pool.available() - pool.incoming();
    }

    private int surplusHosts(PoolCapacity pool) {
        int needed = Math.max(
                input.policy().targetHosts(pool), input.sustainedDemand().getOrDefault(pool.pool(), 0));
        return pool.available() - needed;
    }

    private List<PoolCapacity> sparePools() {
        List<PoolCapacity> spare = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            if (isSpare(pool.pool())) {
                spare.add(pool);
            }
        }
        return spare;
    }

    private boolean isSpare(PoolName pool) {
        return state.configuration().merged().pools().get(pool).spare();
    }

    private RackName rackOf(HostState host) {
        return findDefinition(host).orElseThrow().rack();
    }

    private Optional<HostDefinition> findDefinition(HostState host) {
        return Optional.ofNullable(state.configuration().merged().hosts().get(host.name()));
    }
}
