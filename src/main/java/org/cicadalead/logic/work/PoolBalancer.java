package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Moves idle machines to the pools whose work exceeds their capacity, and switches off machines that have been idle for
 * a while. The demand of one pool after the other rises to several times its mean; a pool's own capacity is a fraction
 * of its demand peak, while the machines of the other pools are idle. Not thread-safe.
 */
public final class PoolBalancer {
    /** Share of a pool's cores that tasks of different sizes can use (a ratio). */
    private static final double USABLE_SHARE = 0.85;

    /** Minimum share of all machines that a pool keeps, for the first seconds of its next demand peak (a ratio). */
    private static final double MIN_POOL_SHARE = 0.08;

    /** Time without work after which a machine is switched off: being on for this long costs as much as a move. */
    private static final long IDLE_SWITCH_OFF_MILLISECONDS = 1_200;

    /** Maximum time after the move order for which a machine counts towards its new pool before it is listed there. */
    private static final long ARRIVAL_MILLISECONDS = 4_000;

    /** Pause before the order for a machine is retried after a failure. */
    private static final long RETRY_MILLISECONDS = 1_000;

    private final Map<String, MachineEntry> machines = new HashMap<>();
    private final Map<String, Long> idleSince = new HashMap<>();
    private final Map<String, PendingMove> pendingMoves = new HashMap<>();
    private final Map<String, Long> retryAt = new HashMap<>();
    private final OrderBudget budget;
    private boolean hasMachineList;
    /** Whether a move came to no end that the newest list shows; the next list tells whether its host stays. */
    private boolean hasExpiredMoves;

    /** Creates a balancer that keeps within the rate of orders that the platform accepts. */
    public PoolBalancer(double maximumOrdersPerSecond) {
        this.budget = new OrderBudget(maximumOrdersPerSecond);
    }

    /** Updates the machines from the complete list of the platform. */
    public void updateMachines(List<MachineEntry> entries) {
        hasMachineList = true;
        hasExpiredMoves = false;
        machines.clear();
        entries.forEach(entry -> machines.put(entry.machine(), entry));
        pendingMoves.entrySet().removeIf(pendingMove -> hasArrived(pendingMove.getKey(), pendingMove.getValue()));
    }

    /** Returns whether a machine is up in its new pool, where its host counts as capacity and not as arriving. */
    private boolean hasArrived(String machine, PendingMove pendingMove) {
        MachineEntry entry = machines.get(machine);
        return entry != null
                && entry.condition() == MachineCondition.UP
                && entry.pool().equals(pendingMove.pool());
    }

    /** Returns whether an up-to-date list of machines is needed soon. */
    public boolean isMachineListNeeded(PoolView pools, long now) {
        return !hasMachineList
                || !pendingMoves.isEmpty()
                || hasExpiredMoves
                || pools.demands().stream().anyMatch(demand -> countMissingHosts(demand, 0) > 0);
    }

    /**
     * Decides which machines to move now, and reserves them as moving.
     *
     * @param pools demand and capacity of the pools
     * @param view control over hosts, used to stop late work so that their machines can move next
     * @param reserved machines that must not move, such as those due for maintenance
     */
    public List<Move> decide(PoolView pools, MachineView view, Set<String> reserved, long now) {
        if (!hasMachineList) {
            return List.of();
        }
        hasExpiredMoves |=
                pendingMoves.values().removeIf(pendingMove -> now - pendingMove.orderedAt() > ARRIVAL_MILLISECONDS);
        List<MachineEntry> idleMachines = updateIdleMachines(pools, reserved, now);
        List<Move> moves = new ArrayList<>();
        int maximumMoves = budget.available(now);
        List<PoolView.Demand> poweredPools = pools.demands().stream()
                .filter(demand -> !pools.isStandby(demand.service()))
                .toList();
        Map<String, Integer> surplus = countSurplusHosts(pools);
        List<PoolView.Demand> poolsByShortage = poweredPools.stream()
                .sorted(Comparator.comparingDouble((PoolView.Demand demand) -> demand.cores() - neededCores(demand)))
                .toList();
        for (PoolView.Demand demand : poolsByShortage) {
            int missing = countMissingHosts(demand, countArriving(demand.service()));
            while (missing > 0 && moves.size() < maximumMoves) {
                MachineEntry donor = takeDonor(idleMachines, demand.service(), pools, surplus);
                if (donor == null) {
                    // Late work gives way to work that is here, not to what is expected.
                    int missingNow = countHosts(demand, neededCoresNow(demand), countArriving(demand.service()));
                    clearDisposableHosts(missingNow, demand.service(), pools, view, surplus, reserved, now);
                    break;
                }
                idleMachines.remove(donor);
                missing--;
                moves.add(orderMove(donor, demand.service(), now));
            }
        }
        switchOff(idleMachines, pools, surplus, maximumMoves - moves.size(), now)
                .forEach(moves::add);
        budget.take(moves.size());
        return moves;
    }

    /** Returns whether a pool needs more machines than those that are moving to it. */
    public boolean isWaitingForMachines(PoolView pools) {
        return pools.demands().stream()
                .anyMatch(demand -> !pools.isStandby(demand.service())
                        && countMissingHosts(demand, countArriving(demand.service())) > 0);
    }

    /** Returns the cores for the work that is here and that will have arrived when a machine ordered now arrives. */
    private static double neededCores(PoolView.Demand demand) {
        return neededCoresNow(demand) + demand.risingCores() / USABLE_SHARE;
    }

    private static double neededCoresNow(PoolView.Demand demand) {
        return (demand.steadyCores() + demand.dueCores()) / USABLE_SHARE;
    }

    /** Returns how many hosts each pool can give away, given its work and the minimum that it keeps. */
    private Map<String, Integer> countSurplusHosts(PoolView pools) {
        int minimumHosts = (int) Math.max(1, Math.round(machines.size() * MIN_POOL_SHARE));
        Map<String, Integer> surplus = new HashMap<>();
        for (PoolView.Demand demand : pools.demands()) {
            double hosts =
                    demand.coresPerHost() <= 0 ? 0 : (demand.cores() - neededCores(demand)) / demand.coresPerHost();
            surplus.put(demand.service(), (int)
                    Math.min(Math.max(0, demand.hosts() - minimumHosts), Math.max(0, Math.floor(hosts))));
        }
        return surplus;
    }

    private int countArriving(String service) {
        int count = 0;
        for (PendingMove pendingMove : pendingMoves.values()) {
            count += pendingMove.pool().equals(service) ? 1 : 0;
        }
        return count;
    }

    /** Returns how many further machines a pool needs for its present and arriving work. */
    private static int countMissingHosts(PoolView.Demand demand, int arriving) {
        return countHosts(demand, neededCores(demand), arriving);
    }

    private static int countHosts(PoolView.Demand demand, double neededCores, int arriving) {
        double expectedCores = demand.cores() + arriving * demand.coresPerHost();
        return demand.coresPerHost() <= 0
                ? 0
                : (int) Math.max(0, Math.ceil((neededCores - expectedCores) / demand.coresPerHost()));
    }

    private List<MachineEntry> updateIdleMachines(PoolView pools, Set<String> reserved, long now) {
        List<MachineEntry> idleMachines = new ArrayList<>();
        Set<String> listedMachines = new HashSet<>();
        for (MachineEntry machine : machines.values()) {
            listedMachines.add(machine.machine());
            boolean isAvailable = machine.condition() == MachineCondition.UP
                    && !reserved.contains(machine.machine())
                    && !pendingMoves.containsKey(machine.machine())
                    && now >= retryAt.getOrDefault(machine.machine(), Long.MIN_VALUE)
                    && (pools.isStandby(machine.pool()) || pools.isIdle(machine.host()));
            if (isAvailable) {
                idleSince.putIfAbsent(machine.machine(), now);
                idleMachines.add(machine);
            } else {
                idleSince.remove(machine.machine());
            }
        }
        idleSince.keySet().retainAll(listedMachines);
        idleMachines.sort(Comparator.comparing(MachineEntry::machine));
        return idleMachines;
    }

    /**
     * Takes a machine to give to a pool and reduces the surplus of its old pool. Prefers an idle machine of another
     * pool, which costs already, to one that is switched off.
     */
    private static @Nullable MachineEntry takeDonor(
            List<MachineEntry> idleMachines, String service, PoolView pools, Map<String, Integer> surplus) {
        MachineEntry standbyMachine = null;
        for (MachineEntry machine : idleMachines) {
            if (machine.pool().equals(service)) {
                continue;
            }
            if (pools.isStandby(machine.pool())) {
                standbyMachine = standbyMachine == null ? machine : standbyMachine;
            } else if (surplus.getOrDefault(machine.pool(), 0) > 0) {
                surplus.merge(machine.pool(), -1, Integer::sum);
                return machine;
            }
        }
        return standbyMachine;
    }

    /** Stops the work of hosts that run only late work, so that their machines become idle. */
    private void clearDisposableHosts(
            int missing,
            String service,
            PoolView pools,
            MachineView view,
            Map<String, Integer> surplus,
            Set<String> reserved,
            long now) {
        int remaining = missing;
        for (MachineEntry machine : machines.values()) {
            boolean isClearable = remaining > 0
                    && machine.condition() == MachineCondition.UP
                    && !machine.pool().equals(service)
                    && !pools.isStandby(machine.pool())
                    && !reserved.contains(machine.machine())
                    && !pendingMoves.containsKey(machine.machine())
                    && !pools.isIdle(machine.host())
                    && pools.isDisposable(machine.host())
                    && surplus.getOrDefault(machine.pool(), 0) > 0;
            if (isClearable) {
                surplus.merge(machine.pool(), -1, Integer::sum);
                view.stopShortRuns(machine.host(), StopCause.MACHINE_FOR_OTHER_POOL, now);
                remaining--;
            }
        }
    }

    private List<Move> switchOff(
            List<MachineEntry> idleMachines, PoolView pools, Map<String, Integer> surplus, int maximumMoves, long now) {
        List<Move> moves = new ArrayList<>();
        String standby = pools.standbyService();
        if (standby.isEmpty()) {
            return moves;
        }
        for (MachineEntry machine : idleMachines) {
            boolean isUnneeded = pools.isIdle(machine.host())
                    && !pools.isStandby(machine.pool())
                    && now - idleSince.getOrDefault(machine.machine(), now) >= IDLE_SWITCH_OFF_MILLISECONDS
                    && surplus.getOrDefault(machine.pool(), 0) > 0;
            if (isUnneeded && moves.size() < maximumMoves) {
                surplus.merge(machine.pool(), -1, Integer::sum);
                moves.add(orderMove(machine, standby, now));
            }
        }
        return moves;
    }

    private Move orderMove(MachineEntry machine, String pool, long now) {
        pendingMoves.put(machine.machine(), new PendingMove(pool, now));
        return new Move(machine.machine(), machine.host(), pool);
    }

    /** Returns whether a machine was ordered to move recently. */
    public boolean isMoving(String machine) {
        return pendingMoves.containsKey(machine);
    }

    /** Records the reply to a move order. */
    public void onMoveReply(Move move, MachineOutcome outcome, long now) {
        if (outcome != MachineOutcome.BEGUN && outcome != MachineOutcome.UNKNOWN) {
            pendingMoves.remove(move.machine());
            retryAt.put(move.machine(), now + RETRY_MILLISECONDS);
        }
    }

    /**
     * An order to move a machine.
     *
     * @param machine the machine
     * @param host the host on it, empty when there is none
     * @param pool the pool that it moves to
     */
    public record Move(String machine, String host, String pool) {}

    private record PendingMove(String pool, long orderedAt) {}
}
