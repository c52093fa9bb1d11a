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
 * Sends the machines of maintenance waves down, within the limit of each wave and without taking more of a step than it
 * can spare. A machine is closed to new work first, and goes when its short work is done or has had its time. A pool
 * loses one machine that is in use at a time, and more only where its share of the wave would be late otherwise:
 * closing as many as the limit allows would leave no room for the work, nor for tasks whose return the next machine
 * waits for. For use by one thread.
 */
public final class MaintenancePlanner {
    /** Time for short work to end on a machine that is closed to new work; about two task durations. */
    private static final long SHORT_WORK_TIMEOUT_MILLISECONDS = 2_000;

    /** Time for which a machine stays closed while its tasks cannot be spared; then another one gets its turn. */
    private static final long CORDON_TIMEOUT_MILLISECONDS = 8_000;

    /** Time after which an order that was not carried out, or got no answer, is repeated. */
    private static final long RETRY_MILLISECONDS = 700;

    /** Time after its maintenance in which a machine still counts as down unless the platform lists it as up. */
    private static final long RETURN_MARGIN_MILLISECONDS = 1_500;

    /** Time after its maintenance until the tasks of a machine work again elsewhere or on it. */
    private static final long SETTLE_MILLISECONDS = 1_000;

    /** Share of a wave's time that is planned with; the rest is for what goes wrong (a ratio). */
    private static final double PLANNED_SHARE = 0.7;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final long maintenanceMilliseconds;
    private final Map<Long, WaveState> waves = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machines = new HashMap<>();
    private long listedAt = Long.MIN_VALUE;

    /** Creates a planner for machines that are down for the given time. */
    public MaintenancePlanner(long maintenanceMilliseconds) {
        this.maintenanceMilliseconds = maintenanceMilliseconds;
    }

    /** Takes a wave; a wave that is known already stays as it is. */
    public void addWave(MaintenanceWave wave, WorkTime now) {
        waves.computeIfAbsent(wave.number(), unseen -> new WaveState(wave, now.wall()));
    }

    /** Takes over what an earlier term kept of a wave. */
    public void restoreProgress(WaveProgress kept) {
        WaveState progress = waves.get(kept.number());
        if (progress != null) {
            progress.finished.addAll(kept.finished());
            progress.startedMilliseconds = Math.min(progress.startedMilliseconds, kept.startedMilliseconds());
        }
    }

    /** Takes that a wave was reported as completed in an earlier term. */
    public void markCompletedEarlier(long number) {
        markReported(number);
    }

    /** Tells whether the list of machines is needed. */
    public boolean isActive() {
        return waves.values().stream().anyMatch(progress -> !progress.reported);
    }

    /** Takes the whole list of machines, as it was when it was asked for at the given monotonic time. */
    public void updateMachines(List<MachineEntry> entries, long askedAt) {
        machines.clear();
        entries.forEach(entry -> machines.put(entry.machine(), entry));
        listedAt = askedAt;
        for (WaveState progress : waves.values()) {
            for (String machine : Set.copyOf(progress.downSince.keySet())) {
                MachineEntry entry = machines.get(machine);
                boolean mayBeBack = askedAt - progress.downSince.get(machine) > maintenanceMilliseconds;
                if (mayBeBack && (entry == null || entry.condition() == MachineCondition.UP)) {
                    progress.downSince.remove(machine);
                }
            }
        }
    }

    /**
     * Returns the orders that are due.
     *
     * @param machinesAreShort whether a pool waits for machines; then idle ones are left to it, as far as the wave is
     *     in time
     */
    public List<Order> decide(MachineView view, WorkTime now, boolean machinesAreShort) {
        List<Order> orders = new ArrayList<>();
        if (listedAt == Long.MIN_VALUE) {
            return orders;
        }
        for (WaveState progress : waves.values()) {
            if (!progress.reported) {
                decide(progress, view, orders, now, machinesAreShort);
            }
        }
        return orders;
    }

    private void decide(
            WaveState progress, MachineView view, List<Order> orders, WorkTime now, boolean machinesAreShort) {
        progress.finishMissing(machines);
        progress.downSince
                .values()
                .removeIf(begun -> now.monotonic() - begun > maintenanceMilliseconds + RETURN_MARGIN_MILLISECONDS
                        && listedAt > begun);
        reopenTimedOutMachines(progress, view, now.monotonic());
        Map<String, Integer> open = countOpenSlots(progress, now);
        int room = progress.wave.limit() - countDown(progress);
        for (MachineEntry machine : findCandidates(progress, view, now.monotonic())) {
            if (room <= 0) {
                return;
            }
            boolean closed = progress.cordonedAt.containsKey(machine.machine());
            boolean takesNoTurn = !machinesAreShort && isIdle(machine, view);
            if (!closed && !takesNoTurn && open.getOrDefault(machine.pool(), 1) <= 0) {
                continue;
            }
            room--;
            open.merge(machine.pool(), takesNoTurn ? 0 : -1, Integer::sum);
            emptyMachine(progress, machine, view, orders, now.monotonic());
        }
    }

    private static boolean isIdle(MachineEntry machine, MachineView view) {
        return view.countUnfinished(machine.host()) == 0 && view.countLongRunning(machine.host()) == 0;
    }

    /** Closes a machine, and sends it down once nothing is lost with it. */
    private static void emptyMachine(
            WaveState progress, MachineEntry machine, MachineView view, List<Order> orders, long now) {
        long closedAt = progress.cordonedAt.computeIfAbsent(machine.machine(), unseen -> now);
        view.setCordoned(machine.host(), true);
        boolean empty = view.countUnfinished(machine.host()) == 0;
        if (!empty && now - closedAt >= SHORT_WORK_TIMEOUT_MILLISECONDS) {
            view.stopShortRuns(machine.host(), now);
        }
        if (!view.canTakeDown(machine.host(), now)) {
            view.evacuateOneTask(machine.host(), now);
        } else if (empty) {
            progress.orderedAt.put(machine.machine(), now);
            view.setLeaving(machine.host(), true);
            orders.add(new Order(progress.wave.number(), machine.machine(), machine.host()));
        }
    }

    /** Counts machines that are down for the wave, may be, or were sent down by an earlier term. */
    private int countDown(WaveState progress) {
        Set<String> down = new HashSet<>(progress.downSince.keySet());
        down.addAll(progress.orderedAt.keySet());
        for (String name : progress.wave.machines()) {
            MachineEntry machine = machines.get(name);
            if (machine != null && machine.condition() == MachineCondition.UPKEEP) {
                down.add(name);
            }
        }
        return down.size();
    }

    /** Opens machines again whose tasks could not be spared for long. */
    private void reopenTimedOutMachines(WaveState progress, MachineView view, long now) {
        for (Map.Entry<String, Long> closed : List.copyOf(progress.cordonedAt.entrySet())) {
            String machine = closed.getKey();
            boolean waits = !progress.finished.contains(machine) && !progress.orderedAt.containsKey(machine);
            if (waits && now - closed.getValue() > CORDON_TIMEOUT_MILLISECONDS && machines.containsKey(machine)) {
                progress.cordonedAt.remove(machine);
                progress.retryAt.put(machine, now + RETRY_MILLISECONDS);
                view.setCordoned(machines.get(machine).host(), false);
            }
        }
    }

    /** Returns how many further machines of each pool may be closed or down now. */
    private Map<String, Integer> countOpenSlots(WaveState progress, WorkTime now) {
        Map<String, Integer> left = new HashMap<>();
        Map<String, Integer> busy = new HashMap<>();
        for (String name : progress.wave.machines()) {
            MachineEntry machine = machines.get(name);
            if (machine == null) {
                continue;
            }
            if (!progress.finished.contains(name)) {
                left.merge(machine.pool(), 1, Integer::sum);
            }
            if (progress.downSince.containsKey(name)) {
                busy.merge(machine.pool(), 1, Integer::sum);
            }
        }
        double timeLeft = Math.max(
                1,
                progress.startedMilliseconds
                        + progress.wave.termSeconds() * MILLISECONDS_PER_SECOND * PLANNED_SHARE
                        - now.wall());
        double turn = SHORT_WORK_TIMEOUT_MILLISECONDS + maintenanceMilliseconds + SETTLE_MILLISECONDS;
        Map<String, Integer> turns = new HashMap<>();
        left.forEach((pool, count) ->
                turns.put(pool, (int) Math.max(1, Math.ceil(count * turn / timeLeft)) - busy.getOrDefault(pool, 0)));
        return turns;
    }

    /** Machines still to be done: those that are closed already first, then those with the least to lose. */
    private List<MachineEntry> findCandidates(WaveState progress, MachineView view, long now) {
        return progress.wave.machines().stream()
                .filter(name -> !progress.finished.contains(name) && !progress.orderedAt.containsKey(name))
                .filter(name -> now >= progress.retryAt.getOrDefault(name, Long.MIN_VALUE))
                .filter(name -> machines.containsKey(name))
                .map(machines::get)
                .filter(machine -> machine.condition() == MachineCondition.UP)
                .sorted(Comparator.comparing(
                                (MachineEntry machine) -> !progress.cordonedAt.containsKey(machine.machine()))
                        .thenComparingInt(machine -> view.countLongRunning(machine.host()))
                        .thenComparingInt(machine -> view.countUnfinished(machine.host())))
                .toList();
    }

    /** Takes the answer to an order. */
    public void onOrderReply(Order order, MachineOutcome outcome, MachineView view, long now) {
        WaveState progress = waves.get(order.wave());
        if (progress == null) {
            return;
        }
        progress.orderedAt.remove(order.machine());
        switch (outcome) {
            case BEGUN -> {
                progress.finished.add(order.machine());
                progress.downSince.put(order.machine(), now);
            }
            case IMPOSSIBLE -> {
                progress.finished.add(order.machine());
                view.setCordoned(order.host(), false);
                view.setLeaving(order.host(), false);
            }
            case UNKNOWN -> {
                progress.downSince.put(order.machine(), now);
                progress.retryAt.put(order.machine(), now + RETRY_MILLISECONDS);
            }
            default -> {
                view.setLeaving(order.host(), false);
                progress.retryAt.put(order.machine(), now + RETRY_MILLISECONDS);
            }
        }
    }

    /** Returns machines that are about to go down, or may be down. */
    public Set<String> findReservedMachines() {
        Set<String> reserved = new HashSet<>();
        for (WaveState progress : waves.values()) {
            if (!progress.reported) {
                reserved.addAll(progress.cordonedAt.keySet());
                reserved.addAll(progress.orderedAt.keySet());
                reserved.addAll(progress.downSince.keySet());
            }
        }
        return reserved;
    }

    /** Returns what is to be kept of a wave. */
    public WaveProgress createProgress(long number) {
        WaveState progress = waves.get(number);
        return progress == null
                ? new WaveProgress(number, 0, Set.of())
                : new WaveProgress(number, progress.startedMilliseconds, progress.finished);
    }

    /** Returns waves whose machines have all begun their maintenance, and that are not reported yet. */
    public List<Long> findCompletedWaves() {
        return waves.values().stream()
                .filter(progress -> !progress.reported && progress.finished.containsAll(progress.wave.machines()))
                .map(progress -> progress.wave.number())
                .toList();
    }

    /** Returns waves that run and are not reported yet. */
    public List<Long> findRunningWaves() {
        return waves.values().stream()
                .filter(progress -> !progress.reported)
                .map(progress -> progress.wave.number())
                .toList();
    }

    /** Takes that the completion of a wave is in the store. */
    public void markReported(long number) {
        WaveState progress = waves.get(number);
        if (progress != null) {
            progress.reported = true;
        }
    }

    /**
     * An order to send a machine down.
     *
     * @param wave number of the wave
     * @param machine the machine
     * @param host the host on it
     */
    public record Order(long wave, String machine, String host) {}

    /** How far a wave is. For use by one thread. */
    private static final class WaveState {
        private final MaintenanceWave wave;
        private final Set<String> finished = new HashSet<>();
        private final Map<String, Long> downSince = new HashMap<>();
        private final Map<String, Long> orderedAt = new HashMap<>();
        private final Map<String, Long> cordonedAt = new HashMap<>();
        private final Map<String, Long> retryAt = new HashMap<>();
        private long startedMilliseconds;
        private boolean reported;

        WaveState(MaintenanceWave wave, long startedMilliseconds) {
            this.wave = wave;
            this.startedMilliseconds = startedMilliseconds;
        }

        void finishMissing(Map<String, MachineEntry> machines) {
            for (String machine : wave.machines()) {
                if (!machines.containsKey(machine)) {
                    finished.add(machine);
                }
            }
        }
    }
}
