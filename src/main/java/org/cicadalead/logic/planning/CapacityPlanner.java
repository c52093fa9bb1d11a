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
 * Plans moves of hosts between pools: first replacements for pools below their promise, the pool most at risk first;
 * then loans to pools whose demand lasts longer than a move takes; then the refill of the spare pool. A loaned host is
 * recalled by a later replacement. Each instance plans one cycle and must be used by one thread only.
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

    /** Plans one cycle. */
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
        int movesInProgress = 0;
        for (HostState host : state.hosts().values()) {
            PoolName pool = host.move().map(HostMoveState::destination).orElse(host.pool());
            adjustRackCount(host, pool, 1);
            if (host.move().isPresent()) {
                movesInProgress++;
            } else if (host.isAvailable() && !excludedHosts.contains(host.name())) {
                movableHostsByPool
                        .computeIfAbsent(host.pool(), unused -> new ArrayList<>())
                        .add(host);
            }
        }
        remainingMoves = Math.max(0, input.policy().maximumMoves() - movesInProgress);
    }

    private void adjustRackCount(HostState host, PoolName pool, int count) {
        findDefinition(host).ifPresent(definition -> hostsByPoolAndRack
                .computeIfAbsent(pool, unused -> new HashMap<>())
                .merge(definition.rack(), count, Integer::sum));
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

    /**
     * Returns a replacement for a missing host. If the members that are expected back cover the gap, only idle spare
     * hosts are used, as taking hosts of other pools would cause many moves.
     */
    private Optional<HostState> findReplacement(PoolCapacity pool) {
        boolean returningHostsSuffice = pool.available() + pool.incoming() + pool.returning()
                >= input.policy().targetHosts(pool);
        return returningHostsSuffice ? findIdleSpareHost(pool.pool(), 0) : findHostFor(pool.pool(), true);
    }

    /** Reports a pool that stays below its promise; a pool that lacks only its buffer is not reported. */
    private void reportUnmetPromise(PoolCapacity pool) {
        int expected = pool.available() + pool.incoming() + pool.returning();
        if (expected < pool.promised()) {
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
     * Adds a host to a pool that is complete but whose budgets allow no host to be taken out for maintenance. A host on
     * a rack that holds fewer of the pool's hosts than the fullest one raises the slack, so that one host can be out.
     */
    private void planMovesForBlockedWaves() {
        if (!input.policy().canShareBetweenPools()) {
            return;
        }
        for (PoolName pool : findPoolsWithWaitingHosts()) {
            PoolCapacity blocked = index.pool(pool);
            boolean expectsNoHost = blocked.incoming() == 0 && blocked.returning() == 0;
            if (blocked.slack() <= 0 && expectsNoHost && remainingMoves > 0) {
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
        List<PoolName> poolsInNeed = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            if (pool.promised() > 0 && hostsMissingForDemand(pool) > 0) {
                poolsInNeed.add(pool.pool());
            }
        }
        poolsInNeed.sort(Comparator.naturalOrder());
        for (PoolName pool : poolsInNeed) {
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
            int expected = spare.available() + spare.incoming() + spare.returning();
            for (int missing = reserve - expected; missing > 0 && remainingMoves > 0; missing--) {
                Optional<HostState> host = findSurplusHost(spare.pool());
                if (host.isEmpty()) {
                    return;
                }
                planMove(host.get(), spare.pool(), EventKind.RESERVE_REFILL_PLANNED);
            }
        }
    }

    /** Returns the best host to move to a pool: idle spare hosts first, then hosts that another pool does not need. */
    private Optional<HostState> findHostFor(PoolName pool, boolean forPromise) {
        int reserve = forPromise ? 0 : input.policy().idleReserve(input.firstMeasure(), largestRackFailure);
        Optional<HostState> idle = findIdleSpareHost(pool, reserve);
        if (idle.isPresent() || !input.policy().canShareBetweenPools()) {
            return idle;
        }
        return findSurplusHost(pool);
    }

    private Optional<HostState> findIdleSpareHost(PoolName pool, int reserve) {
        List<HostState> idle = new ArrayList<>();
        for (PoolCapacity spare : sparePools()) {
            if (spare.available() > reserve) {
                idle.addAll(movableHostsByPool.getOrDefault(spare.pool(), List.of()));
            }
        }
        return chooseBestPlacedHost(idle, pool);
    }

    private Optional<HostState> findSurplusHost(PoolName pool) {
        List<HostState> surplusCandidates = new ArrayList<>();
        for (PoolCapacity other : index.pools()) {
            boolean isEligible = !other.pool().equals(pool) && !isSpare(other.pool());
            if (isEligible && surplusHosts(other) > 0) {
                movableHostsByPool.getOrDefault(other.pool(), List.of()).stream()
                        .filter(host ->
                                index.findBudgetViolationAfterRemoval(host).isEmpty())
                        .forEach(surplusCandidates::add);
            }
        }
        return chooseBestPlacedHost(surplusCandidates, pool);
    }

    /**
     * Prefers a host on the rack, then in the availability zone, where the pool has the fewest hosts, so that the loss
     * of one rack takes few of them. The count by rack includes hosts that are down or moving in, as they are expected
     * to become available.
     */
    private Optional<HostState> chooseBestPlacedHost(List<HostState> candidates, PoolName pool) {
        Map<RackName, Integer> hostsByRack = hostsByPoolAndRack.getOrDefault(pool, Map.of());
        Map<ZoneName, Integer> hostsByZone = new HashMap<>();
        for (HostState member : movableHostsByPool.getOrDefault(pool, List.of())) {
            findDefinition(member).ifPresent(definition -> hostsByZone.merge(definition.zone(), 1, Integer::sum));
        }
        return candidates.stream()
                .filter(host -> findDefinition(host).isPresent())
                .min(Comparator.<HostState>comparingInt(host -> hostsByRack.getOrDefault(rackOf(host), 0))
                        .thenComparingInt(host -> hostsByZone.getOrDefault(
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
        boolean excludesReturning =
                input.policy().canReplaceHostsInMaintenance(input.firstMeasure()) && hasUrgentWave();
        return pool.available() + pool.incoming() + (excludesReturning ? 0 : pool.returning());
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
