package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.model.work.WaveProgress;

/**
 * Takes the machines of maintenance waves down, within the limit of each wave and the limits of unavailable tasks of
 * the steps. A machine is cordoned first, and goes down when its short work has ended or was stopped after a timeout. A
 * pool loses one machine in use at a time, and more only when its share of the wave would be late otherwise: to cordon
 * as many as the limit allows would leave no capacity for the work, nor for the tasks whose restart the next machine
 * waits for. Not thread-safe.
 */
public final class MachineMaintenancePlanner {
    /** Time for short work to end on a cordoned machine before it is stopped; about two task durations. */
    private static final long SHORT_WORK_TIMEOUT_MILLISECONDS = 2_000;

    /** Maximum time for which a machine stays cordoned while it may not go down; after it another machine is tried. */
    private static final long CORDON_TIMEOUT_MILLISECONDS = 8_000;

    /** Time after which an order that was not carried out, or got no reply, is retried. */
    private static final long RETRY_MILLISECONDS = 700;

    /** Time after its maintenance for which a machine counts as down unless the platform lists it as up. */
    private static final long RETURN_MARGIN_MILLISECONDS = 1_500;

    /** Time after its maintenance until the tasks of a machine run again, on it or elsewhere. */
    private static final long SETTLE_MILLISECONDS = 1_000;

    /** Share of a wave's time that is planned for; the rest is a reserve for failures (a ratio). */
    private static final double PLANNED_SHARE = 0.7;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final long maintenanceMilliseconds;
    private final Map<Long, WaveState> waves = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machines = new HashMap<>();
    private long listedAt = Long.MIN_VALUE;

    /** Creates a planner for machines whose maintenance takes the given time. */
    public MachineMaintenancePlanner(long maintenanceMilliseconds) {
        this.maintenanceMilliseconds = maintenanceMilliseconds;
    }

    /** Adds a wave. A wave that is already known stays unchanged. */
    public void addWave(MaintenanceWave wave, WorkTime now) {
        waves.computeIfAbsent(wave.number(), key -> new WaveState(wave, now.wall()));
    }

    /** Restores the progress of a wave that an earlier term stored. */
    public void restoreProgress(WaveProgress stored) {
        WaveState wave = waves.get(stored.number());
        if (wave != null) {
            wave.finished.addAll(stored.finished());
            wave.startedMilliseconds = Math.min(wave.startedMilliseconds, stored.startedMilliseconds());
        }
    }

    /** Marks a wave as one whose completion an earlier term has reported. */
    public void markCompletedEarlier(long number) {
        markReported(number);
    }

    /** Returns whether a wave is in progress, so that the list of machines is needed. */
    public boolean isActive() {
        return waves.values().stream().anyMatch(wave -> !wave.reported);
    }

    /** Updates the machines from the complete list of the platform, requested at the given monotonic time. */
    public void updateMachines(List<MachineEntry> entries, long requestedAt) {
        machines.clear();
        entries.forEach(entry -> machines.put(entry.machine(), entry));
        listedAt = requestedAt;
        for (WaveState wave : waves.values()) {
            for (String machine : Set.copyOf(wave.downSince.keySet())) {
                MachineEntry entry = machines.get(machine);
                boolean mayBeUp = requestedAt - wave.downSince.get(machine) > maintenanceMilliseconds;
                if (mayBeUp && (entry == null || entry.condition() == MachineCondition.UP)) {
                    wave.downSince.remove(machine);
                }
            }
        }
    }

    /**
     * Decides which machines to take down now, cordons and empties hosts, and returns the orders.
     *
     * @param machinesAreShort whether a pool waits for machines; idle machines are then left to it while the wave is in
     *     time
     */
    public List<Order> decide(MachineView view, WorkTime now, boolean machinesAreShort) {
        List<Order> orders = new ArrayList<>();
        if (listedAt == Long.MIN_VALUE) {
            return orders;
        }
        for (WaveState wave : waves.values()) {
            if (!wave.reported) {
                decide(wave, view, orders, now, machinesAreShort);
            }
        }
        return orders;
    }

    private void decide(WaveState wave, MachineView view, List<Order> orders, WorkTime now, boolean machinesAreShort) {
        wave.finishMissing(machines);
        wave.downSince
                .values()
                .removeIf(downAt -> now.monotonic() - downAt > maintenanceMilliseconds + RETURN_MARGIN_MILLISECONDS
                        && listedAt > downAt);
        uncordonTimedOutMachines(wave, view, now.monotonic());
        Map<String, Integer> openSlots = countOpenSlots(wave, now);
        int freeSlots = wave.definition.limit() - countDown(wave);
        for (MachineEntry machine : findCandidates(wave, view, now.monotonic())) {
            if (freeSlots <= 0) {
                return;
            }
            boolean isCordoned = wave.cordonedAt.containsKey(machine.machine());
            boolean needsNoSlot = !machinesAreShort && isIdle(machine, view);
            if (!isCordoned && !needsNoSlot && openSlots.getOrDefault(machine.pool(), 1) <= 0) {
                continue;
            }
            freeSlots--;
            openSlots.merge(machine.pool(), needsNoSlot ? 0 : -1, Integer::sum);
            emptyMachine(wave, machine, view, orders, now.monotonic());
        }
    }

    private static boolean isIdle(MachineEntry machine, MachineView view) {
        return view.countUnfinished(machine.host()) == 0 && view.countLongRunning(machine.host()) == 0;
    }

    /** Cordons a machine, and orders it down once no work is lost with it. */
    private static void emptyMachine(
            WaveState wave, MachineEntry machine, MachineView view, List<Order> orders, long now) {
        long cordonedAt = wave.cordonedAt.computeIfAbsent(machine.machine(), key -> now);
        view.setCordoned(machine.host(), true);
        boolean isEmpty = view.countUnfinished(machine.host()) == 0;
        if (!isEmpty && now - cordonedAt >= SHORT_WORK_TIMEOUT_MILLISECONDS) {
            view.stopShortRuns(machine.host(), StopCause.MAINTENANCE, now);
        }
        if (!view.canTakeDown(machine.host(), now)) {
            view.evacuateOneTask(machine.host(), now);
        } else if (isEmpty) {
            wave.orderedAt.put(machine.machine(), now);
            view.setLeaving(machine.host(), true);
            orders.add(new Order(wave.definition.number(), machine.machine(), machine.host()));
        }
    }

    /** Counts the machines that are or may be down for the wave, including those that an earlier term took down. */
    private int countDown(WaveState wave) {
        Set<String> down = new HashSet<>(wave.downSince.keySet());
        down.addAll(wave.orderedAt.keySet());
        for (String name : wave.definition.machines()) {
            MachineEntry machine = machines.get(name);
            if (machine != null && machine.condition() == MachineCondition.UPKEEP) {
                down.add(name);
            }
        }
        return down.size();
    }

    /** Uncordons machines that could not go down within the timeout. */
    private void uncordonTimedOutMachines(WaveState wave, MachineView view, long now) {
        for (Map.Entry<String, Long> cordonedMachine : List.copyOf(wave.cordonedAt.entrySet())) {
            String machine = cordonedMachine.getKey();
            boolean isWaiting = !wave.finished.contains(machine) && !wave.orderedAt.containsKey(machine);
            if (isWaiting
                    && now - cordonedMachine.getValue() > CORDON_TIMEOUT_MILLISECONDS
                    && machines.containsKey(machine)) {
                wave.cordonedAt.remove(machine);
                wave.retryAt.put(machine, now + RETRY_MILLISECONDS);
                view.setCordoned(machines.get(machine).host(), false);
            }
        }
    }

    /** Returns how many further machines of each pool may be cordoned or down now. */
    private Map<String, Integer> countOpenSlots(WaveState wave, WorkTime now) {
        Map<String, Integer> unfinishedByPool = new HashMap<>();
        Map<String, Integer> downByPool = new HashMap<>();
        for (String name : wave.definition.machines()) {
            MachineEntry machine = machines.get(name);
            if (machine == null) {
                continue;
            }
            if (!wave.finished.contains(name)) {
                unfinishedByPool.merge(machine.pool(), 1, Integer::sum);
            }
            if (wave.downSince.containsKey(name)) {
                downByPool.merge(machine.pool(), 1, Integer::sum);
            }
        }
        double remainingMilliseconds = Math.max(
                1,
                wave.startedMilliseconds
                        + wave.definition.termSeconds() * MILLISECONDS_PER_SECOND * PLANNED_SHARE
                        - now.wall());
        double machineMilliseconds = SHORT_WORK_TIMEOUT_MILLISECONDS + maintenanceMilliseconds + SETTLE_MILLISECONDS;
        Map<String, Integer> slots = new HashMap<>();
        unfinishedByPool.forEach((pool, count) -> slots.put(
                pool,
                (int) Math.max(1, Math.ceil(count * machineMilliseconds / remainingMilliseconds))
                        - downByPool.getOrDefault(pool, 0)));
        return slots;
    }

    /** Returns the machines that still need maintenance: cordoned ones first, then those with the fewest runs. */
    private List<MachineEntry> findCandidates(WaveState wave, MachineView view, long now) {
        return wave.definition.machines().stream()
                .filter(name -> !wave.finished.contains(name) && !wave.orderedAt.containsKey(name))
                .filter(name -> now >= wave.retryAt.getOrDefault(name, Long.MIN_VALUE))
                .filter(name -> machines.containsKey(name))
                .map(machines::get)
                .filter(machine -> machine.condition() == MachineCondition.UP)
                .sorted(Comparator.comparing((MachineEntry machine) -> !wave.cordonedAt.containsKey(machine.machine()))
                        .thenComparingInt(machine -> view.countLongRunning(machine.host()))
                        .thenComparingInt(machine -> view.countUnfinished(machine.host())))
                .toList();
    }

    /** Records the reply to an order. */
    public void onOrderReply(Order order, MachineOutcome outcome, MachineView view, long now) {
        WaveState wave = waves.get(order.wave());
        if (wave == null) {
            return;
        }
        wave.orderedAt.remove(order.machine());
        switch (outcome) {
            case BEGUN -> {
                wave.finish(order.machine());
                wave.downSince.put(order.machine(), now);
            }
            case IMPOSSIBLE -> {
                wave.finish(order.machine());
                view.setCordoned(order.host(), false);
                view.setLeaving(order.host(), false);
            }
            case UNKNOWN -> {
                wave.downSince.put(order.machine(), now);
                wave.retryAt.put(order.machine(), now + RETRY_MILLISECONDS);
            }
            default -> {
                view.setLeaving(order.host(), false);
                wave.retryAt.put(order.machine(), now + RETRY_MILLISECONDS);
            }
        }
    }

    /** Returns the machines that are about to go down, or may be down. */
    public Set<String> findReservedMachines() {
        Set<String> reserved = new HashSet<>();
        for (WaveState wave : waves.values()) {
            if (!wave.reported) {
                reserved.addAll(wave.cordonedAt.keySet());
                reserved.addAll(wave.orderedAt.keySet());
                reserved.addAll(wave.downSince.keySet());
            }
        }
        return reserved;
    }

    /** Creates the progress record of a wave to store. */
    public WaveProgress createProgress(long number) {
        WaveState wave = waves.get(number);
        return wave == null
                ? new WaveProgress(number, 0, Set.of())
                : new WaveProgress(number, wave.startedMilliseconds, wave.finished);
    }

    /** Returns the waves whose machines have all begun their maintenance and whose completion is not reported yet. */
    public List<Long> findCompletedWaves() {
        return waves.values().stream()
                .filter(wave -> !wave.reported && wave.finished.containsAll(wave.definition.machines()))
                .map(wave -> wave.definition.number())
                .toList();
    }

    /** Returns the waves whose completion is not reported yet. */
    public List<Long> findRunningWaves() {
        return waves.values().stream()
                .filter(wave -> !wave.reported)
                .map(wave -> wave.definition.number())
                .toList();
    }

    /** Records that the completion of a wave is in the store. */
    public void markReported(long number) {
        WaveState wave = waves.get(number);
        if (wave != null) {
            wave.reported = true;
        }
    }

    /**
     * An order to take a machine down for maintenance.
     *
     * @param wave number of the wave
     * @param machine the machine
     * @param host the host on it
     */
    public record Order(long wave, String machine, String host) {}

    /** Progress of a wave. Not thread-safe. */
    private static final class WaveState {
        private final MaintenanceWave definition;
        private final Set<String> finished = new HashSet<>();
        private final Map<String, Long> downSince = new HashMap<>();
        private final Map<String, Long> orderedAt = new HashMap<>();
        private final Map<String, Long> cordonedAt = new HashMap<>();
        private final Map<String, Long> retryAt = new HashMap<>();
        private long startedMilliseconds;
        private boolean reported;

        WaveState(MaintenanceWave definition, long startedMilliseconds) {
            this.definition = definition;
            this.startedMilliseconds = startedMilliseconds;
        }

        /** Records that a machine needs no more maintenance, so that it is reserved only while it is down. */
        void finish(String machine) {
            finished.add(machine);
            cordonedAt.remove(machine);
        }

        void finishMissing(Map<String, MachineEntry> machines) {
            for (String machine : definition.machines()) {
                if (!machines.containsKey(machine)) {
                    finish(machine);
                }
            }
        }
    }
}
