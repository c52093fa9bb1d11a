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
 * Moves idle machines to the pools whose work does not fit, and switches machines off that nobody has needed for a
 * while. Answers demand that rises to several times its mean in one pool after the other: a pool's own room is a
 * fraction of what its turn asks, while the machines of the others stand idle. For use by one thread.
 */
public final class PoolBalancer {
    /** Share of a pool's cores that tasks of uneven sizes can use (a ratio). */
    private static final double USABLE_SHARE = 0.85;

    /** Share of all machines that a pool keeps whatever it needs, for the first seconds of its next turn (a ratio). */
    private static final double MIN_SHARE = 0.08;

    /** Time without work after which a machine is switched off: twice the cost of a move in costs of being on. */
    private static final long IDLE_SWITCH_OFF_MILLISECONDS = 2_500;

    /** Time for which a machine that was ordered to move counts for its new pool before it shows there. */
    private static final long ARRIVAL_MILLISECONDS = 4_000;

    /** Pause before a machine whose order failed is asked again. */
    private static final long RETRY_MILLISECONDS = 1_000;

    /** Most machines that are ordered to move in one round; the platform accepts a limited number of orders. */
    private static final int MAX_ORDERS_PER_CYCLE = 8;

    private final Map<String, MachineEntry> machines = new HashMap<>();
    private final Map<String, Long> idleSince = new HashMap<>();
    private final Map<String, PendingMove> pendingMoves = new HashMap<>();
    private final Map<String, Long> retryAt = new HashMap<>();
    private boolean hasMachineList;

    /** Takes the whole list of machines. */
    public void updateMachines(List<MachineEntry> entries) {
        hasMachineList = true;
        machines.clear();
        entries.forEach(entry -> machines.put(entry.machine(), entry));
    }

    /** Tells whether a list of machines is needed soon. */
    public boolean isMachineListNeeded(PoolView pools, long now) {
        return !hasMachineList
                || !pendingMoves.isEmpty()
                || pools.demands().stream().anyMatch(demand -> countMissingHosts(demand, 0) > 0);
    }

    /**
     * Returns the moves that are due.
     *
     * @param pools demand and room of the pools
     * @param view clears hosts whose work is late anyway, for their machines to move next
     * @param reserved machines that are about to change for another reason
     */
    public List<Move> decide(PoolView pools, MachineView view, Set<String> reserved, long now) {
        if (!hasMachineList) {
            return List.of();
        }
        pendingMoves.values().removeIf(arrival -> now - arrival.orderedAt() > ARRIVAL_MILLISECONDS);
        List<MachineEntry> idle = updateIdleMachines(pools, reserved, now);
        List<Move> moves = new ArrayList<>();
        List<PoolView.Demand> powered = pools.demands().stream()
                .filter(demand -> !pools.isStandby(demand.service()))
                .toList();
        Map<String, Integer> surplus = countSurplusHosts(pools);
        List<PoolView.Demand> byNeed = powered.stream()
                .sorted(Comparator.comparingDouble((PoolView.Demand demand) -> demand.cores() - neededCores(demand)))
                .toList();
        for (PoolView.Demand demand : byNeed) {
            int missing = countMissingHosts(demand, countArriving(demand.service()));
            while (missing > 0 && moves.size() < MAX_ORDERS_PER_CYCLE) {
                MachineEntry donor = takeDonor(idle, demand.service(), pools, surplus);
                if (donor == null) {
                    clearDisposableHosts(missing, demand.service(), pools, view, surplus, reserved, now);
                    break;
                }
                idle.remove(donor);
                missing--;
                moves.add(orderMove(donor, demand.service(), now));
            }
        }
        switchOff(idle, pools, surplus, moves, now);
        return moves;
    }

    /** Tells whether a pool waits for machines, beyond those that are on their way to it. */
    public boolean isWaitingForMachines(PoolView pools) {
        return pools.demands().stream()
                .anyMatch(demand -> !pools.isStandby(demand.service())
                        && countMissingHosts(demand, countArriving(demand.service())) > 0);
    }

    private static double neededCores(PoolView.Demand demand) {
        return (demand.steadyCores() + demand.dueCores()) / USABLE_SHARE;
    }

    /** Returns how many hosts of each pool its work can do without; the least that each keeps stays. */
    private Map<String, Integer> countSurplusHosts(PoolView pools) {
        int least = (int) Math.max(1, Math.round(machines.size() * MIN_SHARE));
        Map<String, Integer> surplus = new HashMap<>();
        for (PoolView.Demand demand : pools.demands()) {
            double hosts =
                    demand.coresPerHost() <= 0 ? 0 : (demand.cores() - neededCores(demand)) / demand.coresPerHost();
            surplus.put(demand.service(), (int)
                    Math.min(Math.max(0, demand.hosts() - least), Math.max(0, Math.floor(hosts))));
        }
        return surplus;
    }

    private int countArriving(String service) {
        int count = 0;
        for (PendingMove arrival : pendingMoves.values()) {
            count += arrival.pool().equals(service) ? 1 : 0;
        }
        return count;
    }

    /** Returns how many further machines a pool needs for the work that is there and arrives. */
    private static int countMissingHosts(PoolView.Demand demand, int arriving) {
        double there = demand.cores() + arriving * demand.coresPerHost();
        return demand.coresPerHost() <= 0
                ? 0
                : (int) Math.max(0, Math.ceil((neededCores(demand) - there) / demand.coresPerHost()));
    }

    private List<MachineEntry> updateIdleMachines(PoolView pools, Set<String> reserved, long now) {
        List<MachineEntry> idle = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (MachineEntry machine : machines.values()) {
            seen.add(machine.machine());
            boolean free = machine.condition() == MachineCondition.UP
                    && !reserved.contains(machine.machine())
                    && !pendingMoves.containsKey(machine.machine())
                    && now >= retryAt.getOrDefault(machine.machine(), Long.MIN_VALUE)
                    && (pools.isStandby(machine.pool()) || pools.isIdle(machine.host()));
            if (free) {
                idleSince.putIfAbsent(machine.machine(), now);
                idle.add(machine);
            } else {
                idleSince.remove(machine.machine());
            }
        }
        idleSince.keySet().retainAll(seen);
        idle.sort(Comparator.comparing(MachineEntry::machine));
        return idle;
    }

    /** Prefers an idle machine of another pool, which costs already, to one that is switched off. */
    private static @Nullable MachineEntry takeDonor(
            List<MachineEntry> idle, String service, PoolView pools, Map<String, Integer> surplus) {
        MachineEntry off = null;
        for (MachineEntry machine : idle) {
            if (machine.pool().equals(service)) {
                continue;
            }
            if (pools.isStandby(machine.pool())) {
                off = off == null ? machine : off;
            } else if (surplus.getOrDefault(machine.pool(), 0) > 0) {
                surplus.merge(machine.pool(), -1, Integer::sum);
                return machine;
            }
        }
        return off;
    }

    /** Clears hosts that run nothing but late work; their machines are idle a moment later. */
    private void clearDisposableHosts(
            int missing,
            String service,
            PoolView pools,
            MachineView view,
            Map<String, Integer> surplus,
            Set<String> reserved,
            long now) {
        int left = missing;
        for (MachineEntry machine : machines.values()) {
            boolean clearable = left > 0
                    && machine.condition() == MachineCondition.UP
                    && !machine.pool().equals(service)
                    && !pools.isStandby(machine.pool())
                    && !reserved.contains(machine.machine())
                    && !pendingMoves.containsKey(machine.machine())
                    && !pools.isIdle(machine.host())
                    && pools.isDisposable(machine.host())
                    && surplus.getOrDefault(machine.pool(), 0) > 0;
            if (clearable) {
                surplus.merge(machine.pool(), -1, Integer::sum);
                view.stopShortRuns(machine.host(), now);
                left--;
            }
        }
    }

    private void switchOff(
            List<MachineEntry> idle, PoolView pools, Map<String, Integer> surplus, List<Move> moves, long now) {
        String standby = pools.standbyService();
        if (standby.isEmpty()) {
            return;
        }
        for (MachineEntry machine : idle) {
            boolean unneeded = pools.isIdle(machine.host())
                    && !pools.isStandby(machine.pool())
                    && now - idleSince.getOrDefault(machine.machine(), now) >= IDLE_SWITCH_OFF_MILLISECONDS
                    && surplus.getOrDefault(machine.pool(), 0) > 0;
            if (unneeded && moves.size() < MAX_ORDERS_PER_CYCLE) {
                surplus.merge(machine.pool(), -1, Integer::sum);
                moves.add(orderMove(machine, standby, now));
            }
        }
    }

    private Move orderMove(MachineEntry machine, String pool, long now) {
        pendingMoves.put(machine.machine(), new PendingMove(pool, now));
        return new Move(machine.machine(), machine.host(), pool);
    }

    /** Tells whether a machine was ordered to move a short while ago. */
    public boolean isMoving(String machine) {
        return pendingMoves.containsKey(machine);
    }

    /** Takes the answer to an order. */
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
     * @param host the host on it, empty where there is none
     * @param pool the pool that it goes to
     */
    public record Move(String machine, String host, String pool) {}

    private record PendingMove(String pool, long orderedAt) {}
}
