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
import org.cicadalead.logic.capacity.PoolCapacity;
import org.cicadalead.logic.capacity.WorstEvent;
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
    private final Set<HostName> uncounted;
    private final Map<PoolName, List<HostState>> movable = new HashMap<>();
    private final Map<PoolName, Map<RackName, Integer>> settled = new HashMap<>();
    private final List<Decision> decisions = new ArrayList<>();
    private final int worstEvent;
    private CapacityIndex index;
    private int movesLeft;

    private CapacityPlanner(PlanningInput input) {
        this.input = input;
        this.state = input.state();
        this.uncounted = input.uncounted();
        this.index = CapacityIndex.of(state, uncounted);
        this.worstEvent = WorstEvent.hosts(state);
    }

    /** Plans one round. */
    public static List<Decision> plan(PlanningInput input) {
        CapacityPlanner planner = new CapacityPlanner(input);
        planner.collectMovable();
        planner.replace();
        planner.unblockWaves();
        if (input.policy().lends(input.firstMeasure())) {
            planner.lend();
        }
        if (input.policy().sharesBetweenPools()) {
            planner.refillSpare();
        }
        return planner.decisions;
    }

    private void collectMovable() {
        int moving = 0;
        for (HostState host : state.hosts().values()) {
            PoolName pool = host.move().map(HostMoveState::destination).orElse(host.pool());
            settle(host, pool, 1);
            if (host.move().isPresent()) {
                moving++;
            } else if (host.isAvailable() && !uncounted.contains(host.name())) {
                movable.computeIfAbsent(host.pool(), unused -> new ArrayList<>())
                        .add(host);
            }
        }
        movesLeft = Math.max(0, input.policy().maximumMoves() - moving);
    }

    private void settle(HostState host, PoolName pool, int count) {
        definition(host).ifPresent(found -> settled.computeIfAbsent(pool, unused -> new HashMap<>())
                .merge(found.rack(), count, Integer::sum));
    }

    private void replace() {
        List<PoolCapacity> shortPools = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            if (missing(pool) > 0) {
                shortPools.add(pool);
            }
        }
        shortPools.sort(Comparator.comparingInt(PoolCapacity::slack)
                .thenComparing(Comparator.comparingInt(this::missing).reversed())
                .thenComparing(PoolCapacity::pool));
        for (PoolCapacity pool : shortPools) {
            replaceIn(pool.pool());
        }
    }

    private void replaceIn(PoolName pool) {
        while (missing(index.pool(pool)) > 0) {
            Optional<HostState> host = movesLeft > 0 ? replacementFor(index.pool(pool)) : Optional.empty();
            if (host.isEmpty()) {
                reportShort(index.pool(pool));
                return;
            }
            move(host.get(), pool, EventKind.REPLACEMENT_PLANNED);
        }
    }

    /** For hosts that will be back soon only idle spare hosts are sent, as taking another pool's would move many. */
    private Optional<HostState> replacementFor(PoolCapacity pool) {
        boolean returning = pool.available() + pool.incoming() + pool.returning()
                >= input.policy().wantedHosts(pool);
        return returning ? idleFor(pool.pool(), 0) : sourceFor(pool.pool(), true);
    }

    /** A budget that a failure has cut into is reported; a buffer that is not full is not. */
    private void reportShort(PoolCapacity pool) {
        int coming = pool.available() + pool.incoming() + pool.returning();
        if (coming < pool.promised()) {
            decisions.add(Decision.wait(
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
    private void unblockWaves() {
        if (!input.policy().sharesBetweenPools()) {
            return;
        }
        for (PoolName pool : poolsThatWait()) {
            PoolCapacity blocked = index.pool(pool);
            boolean idle = blocked.incoming() == 0 && blocked.returning() == 0;
            if (blocked.slack() <= 0 && idle && movesLeft > 0) {
                sourceFor(pool, true)
                        .filter(host -> settled.get(pool).getOrDefault(rack(host), 0) < blocked.fullestRack())
                        .ifPresent(host -> move(host, pool, EventKind.LOAN_PLANNED));
            }
        }
    }

    private Set<PoolName> poolsThatWait() {
        Set<PoolName> waiting = new TreeSet<>();
        for (WaveState wave : state.waves().values()) {
            if (wave.phase() != WavePhase.RUNNING || !MaintenancePlanner.isDue(wave, input.nowMilliseconds())) {
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

    private void lend() {
        List<PoolName> busy = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            if (pool.promised() > 0 && wantedByDemand(pool) > 0) {
                busy.add(pool.pool());
            }
        }
        busy.sort(Comparator.naturalOrder());
        for (PoolName pool : busy) {
            while (wantedByDemand(index.pool(pool)) > 0 && movesLeft > 0) {
                Optional<HostState> host = sourceFor(pool, false);
                if (host.isEmpty()) {
                    return;
                }
                move(host.get(), pool, EventKind.LOAN_PLANNED);
            }
        }
    }

    private void refillSpare() {
        int reserve = input.policy().idleReserve(input.firstMeasure(), worstEvent);
        for (PoolCapacity spare : sparePools()) {
            int have = spare.available() + spare.incoming() + spare.returning();
            for (int missing = reserve - have; missing > 0 && movesLeft > 0; missing--) {
                Optional<HostState> host = surplusFor(spare.pool());
                if (host.isEmpty()) {
                    return;
                }
                move(host.get(), spare.pool(), EventKind.RESERVE_REFILL_PLANNED);
            }
        }
    }

    /** Returns the host that serves a pool best: idle spare hosts first, then hosts beyond another pool's needs. */
    private Optional<HostState> sourceFor(PoolName pool, boolean promised) {
        int kept = promised ? 0 : input.policy().idleReserve(input.firstMeasure(), worstEvent);
        Optional<HostState> idle = idleFor(pool, kept);
        if (idle.isPresent() || !input.policy().sharesBetweenPools()) {
            return idle;
        }
        return surplusFor(pool);
    }

    private Optional<HostState> idleFor(PoolName pool, int kept) {
        List<HostState> idle = new ArrayList<>();
        for (PoolCapacity spare : sparePools()) {
            if (spare.available() > kept) {
                idle.addAll(movable.getOrDefault(spare.pool(), List.of()));
            }
        }
        return bestPlaced(idle, pool);
    }

    private Optional<HostState> surplusFor(PoolName pool) {
        List<HostState> beyond = new ArrayList<>();
        for (PoolCapacity other : index.pools()) {
            boolean isOther = !other.pool().equals(pool) && !isSpare(other.pool());
            if (isOther && surplus(other) > 0) {
                movable.getOrDefault(other.pool(), List.of()).stream()
                        .filter(host -> index.objectionToRemoval(host).isEmpty())
                        .forEach(beyond::add);
            }
        }
        return bestPlaced(beyond, pool);
    }

    /**
     * A host on the rack, then in the zone, that the pool has fewest hosts on keeps one rack's loss small. Hosts that
     * are down or moving in count, as they will be back.
     */
    private Optional<HostState> bestPlaced(List<HostState> candidates, PoolName pool) {
        Map<RackName, Integer> target = settled.getOrDefault(pool, Map.of());
        Map<ZoneName, Integer> zones = new HashMap<>();
        for (HostState member : movable.getOrDefault(pool, List.of())) {
            definition(member).ifPresent(found -> zones.merge(found.zone(), 1, Integer::sum));
        }
        return candidates.stream()
                .filter(host -> definition(host).isPresent())
                .min(Comparator.<HostState>comparingInt(host -> target.getOrDefault(rack(host), 0))
                        .thenComparingInt(host -> zones.getOrDefault(
                                definition(host).orElseThrow().zone(), 0))
                        .thenComparing(Comparator.comparingInt(this::crowding).reversed())
                        .thenComparing(HostState::name));
    }

    private int crowding(HostState host) {
        return index.pool(host.pool()).availableByRack().getOrDefault(rack(host), 0);
    }

    private void move(HostState host, PoolName destination, EventKind kind) {
        PoolCapacity target = index.pool(destination);
        decisions.add(Decision.append(
                new FleetCommand.Withdraw(host.name(), host.version(), destination),
                kind,
                host.name(),
                EventDetail.of("from", host.pool()),
                EventDetail.of("to", destination),
                EventDetail.of("promised", target.promised()),
                EventDetail.of("available", target.available()),
                EventDetail.of("slack", target.slack()),
                EventDetail.of("offset", state.offset())));
        index = index.moving(host, destination);
        movable.get(host.pool()).remove(host);
        settle(host, host.pool(), -1);
        settle(host, destination, 1);
        movesLeft--;
    }

    private int missing(PoolCapacity pool) {
        return input.policy().wantedHosts(pool) - effective(pool);
    }

    private int effective(PoolCapacity pool) {
        boolean replaced = input.policy().replacesMaintained(input.firstMeasure()) && hasUrgentWave();
        return pool.available() + pool.incoming() + (replaced ? 0 : pool.returning());
    }

    private boolean hasUrgentWave() {
        return state.waves().values().stream()
                .anyMatch(wave -> wave.phase() == WavePhase.RUNNING && wave.periodMilliseconds() == 0);
    }

    private int wantedByDemand(PoolCapacity pool) {
        return input.sustainedDemand().getOrDefault(pool.pool(), 0) - pool.available() - pool.incoming();
    }

    private int surplus(PoolCapacity pool) {
        int needed = Math.max(
                input.policy().wantedHosts(pool), input.sustainedDemand().getOrDefault(pool.pool(), 0));
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

    private RackName rack(HostState host) {
        return definition(host).orElseThrow().rack();
    }

    private Optional<HostDefinition> definition(HostState host) {
        return Optional.ofNullable(state.configuration().merged().hosts().get(host.name()));
    }
}
