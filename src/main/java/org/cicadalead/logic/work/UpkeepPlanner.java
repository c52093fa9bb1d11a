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
import org.cicadalead.model.work.UpkeepWave;
import org.cicadalead.model.work.WaveProgress;

/**
 * Sends the machines of maintenance waves down, within the limit of each wave and without taking more of a step than it
 * can spare. A machine is closed to new work first, and goes when its short work is done or has had its time. A pool
 * loses one machine that is in use at a time, and more only where its share of the wave would be late otherwise:
 * closing as many as the limit allows would leave no room for the work, nor for tasks whose return the next machine
 * waits for. For use by one thread.
 */
public final class UpkeepPlanner {
    /** Time for short work to end on a machine that is closed to new work; about two task durations. */
    private static final long CLEARING_MILLISECONDS = 2_000;

    /** Time for which a machine stays closed while its tasks cannot be spared; then another one gets its turn. */
    private static final long PATIENCE_MILLISECONDS = 8_000;

    /** Time after which an order that was not carried out, or got no answer, is repeated. */
    private static final long REPEAT_MILLISECONDS = 700;

    /** Time after its maintenance in which a machine still counts as down unless the platform lists it as up. */
    private static final long RETURN_SLACK_MILLISECONDS = 1_500;

    /** Time after its maintenance until the tasks of a machine work again elsewhere or on it. */
    private static final long SETTLE_MILLISECONDS = 1_000;

    /** Share of a wave's time that is planned with; the rest is for what goes wrong (a ratio). */
    private static final double PLANNED_SHARE = 0.7;

    private static final double MILLISECONDS = 1_000;

    private final long maintenanceMilliseconds;
    private final Map<Long, Progress> waves = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machines = new HashMap<>();
    private long listedAt = Long.MIN_VALUE;

    /** Creates a planner for machines that are down for the given time. */
    public UpkeepPlanner(long maintenanceMilliseconds) {
        this.maintenanceMilliseconds = maintenanceMilliseconds;
    }

    /** Takes a wave; a wave that is known already stays as it is. */
    public void wave(UpkeepWave wave, WorkTime now) {
        waves.computeIfAbsent(wave.number(), unseen -> new Progress(wave, now.wall()));
    }

    /** Takes over what an earlier term kept of a wave. */
    public void restored(WaveProgress kept) {
        Progress progress = waves.get(kept.number());
        if (progress != null) {
            progress.finished.addAll(kept.finished());
            progress.startedMilliseconds = Math.min(progress.startedMilliseconds, kept.startedMilliseconds());
        }
    }

    /** Takes that a wave was reported as completed in an earlier term. */
    public void completedEarlier(long number) {
        reported(number);
    }

    /** Tells whether the list of machines is needed. */
    public boolean isActive() {
        return waves.values().stream().anyMatch(progress -> !progress.reported);
    }

    /** Takes the whole list of machines, as it was when it was asked for at the given monotonic time. */
    public void machinesListed(List<MachineEntry> entries, long askedAt) {
        machines.clear();
        entries.forEach(entry -> machines.put(entry.machine(), entry));
        listedAt = askedAt;
        for (Progress progress : waves.values()) {
            for (String machine : Set.copyOf(progress.down.keySet())) {
                MachineEntry entry = machines.get(machine);
                boolean mayBeBack = askedAt - progress.down.get(machine) > maintenanceMilliseconds;
                if (mayBeBack && (entry == null || entry.condition() == MachineCondition.UP)) {
                    progress.down.remove(machine);
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
        for (Progress progress : waves.values()) {
            if (!progress.reported) {
                decide(progress, view, orders, now, machinesAreShort);
            }
        }
        return orders;
    }

    private void decide(
            Progress progress, MachineView view, List<Order> orders, WorkTime now, boolean machinesAreShort) {
        progress.finishMissing(machines);
        progress.down
                .values()
                .removeIf(begun -> now.monotonic() - begun > maintenanceMilliseconds + RETURN_SLACK_MILLISECONDS
                        && listedAt > begun);
        giveUpClosed(progress, view, now.monotonic());
        Map<String, Integer> open = openTurns(progress, now);
        int room = progress.wave.limit() - countDown(progress);
        for (MachineEntry machine : candidates(progress, view, now.monotonic())) {
            if (room <= 0) {
                return;
            }
            boolean closed = progress.closedAt.containsKey(machine.machine());
            boolean takesNoTurn = !machinesAreShort && isIdle(machine, view);
            if (!closed && !takesNoTurn && open.getOrDefault(machine.pool(), 1) <= 0) {
                continue;
            }
            room--;
            open.merge(machine.pool(), takesNoTurn ? 0 : -1, Integer::sum);
            empty(progress, machine, view, orders, now.monotonic());
        }
    }

    private static boolean isIdle(MachineEntry machine, MachineView view) {
        return view.unfinished(machine.host()) == 0 && view.lastingRuns(machine.host()) == 0;
    }

    /** Closes a machine, and sends it down once nothing is lost with it. */
    private static void empty(Progress progress, MachineEntry machine, MachineView view, List<Order> orders, long now) {
        long closedAt = progress.closedAt.computeIfAbsent(machine.machine(), unseen -> now);
        view.cordon(machine.host(), true);
        boolean empty = view.unfinished(machine.host()) == 0;
        if (!empty && now - closedAt >= CLEARING_MILLISECONDS) {
            view.clear(machine.host(), now);
        }
        if (!view.canSpare(machine.host(), now)) {
            view.evacuateOne(machine.host(), now);
        } else if (empty) {
            progress.asked.put(machine.machine(), now);
            view.leaving(machine.host(), true);
            orders.add(new Order(progress.wave.number(), machine.machine(), machine.host()));
        }
    }

    /** Counts machines that are down for the wave, may be, or were sent down by an earlier term. */
    private int countDown(Progress progress) {
        Set<String> down = new HashSet<>(progress.down.keySet());
        down.addAll(progress.asked.keySet());
        for (String name : progress.wave.machines()) {
            MachineEntry machine = machines.get(name);
            if (machine != null && machine.condition() == MachineCondition.UPKEEP) {
                down.add(name);
            }
        }
        return down.size();
    }

    /** Opens machines again whose tasks could not be spared for long. */
    private void giveUpClosed(Progress progress, MachineView view, long now) {
        for (Map.Entry<String, Long> closed : List.copyOf(progress.closedAt.entrySet())) {
            String machine = closed.getKey();
            boolean waits = !progress.finished.contains(machine) && !progress.asked.containsKey(machine);
            if (waits && now - closed.getValue() > PATIENCE_MILLISECONDS && machines.containsKey(machine)) {
                progress.closedAt.remove(machine);
                progress.notBefore.put(machine, now + REPEAT_MILLISECONDS);
                view.cordon(machines.get(machine).host(), false);
            }
        }
    }

    /** Returns how many further machines of each pool may be closed or down now. */
    private Map<String, Integer> openTurns(Progress progress, WorkTime now) {
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
            if (progress.down.containsKey(name)) {
                busy.merge(machine.pool(), 1, Integer::sum);
            }
        }
        double timeLeft = Math.max(
                1,
                progress.startedMilliseconds + progress.wave.termSeconds() * MILLISECONDS * PLANNED_SHARE - now.wall());
        double turn = CLEARING_MILLISECONDS + maintenanceMilliseconds + SETTLE_MILLISECONDS;
        Map<String, Integer> turns = new HashMap<>();
        left.forEach((pool, count) ->
                turns.put(pool, (int) Math.max(1, Math.ceil(count * turn / timeLeft)) - busy.getOrDefault(pool, 0)));
        return turns;
    }

    /** Machines still to be done: those that are closed already first, then those with the least to lose. */
    private List<MachineEntry> candidates(Progress progress, MachineView view, long now) {
        return progress.wave.machines().stream()
                .filter(name -> !progress.finished.contains(name) && !progress.asked.containsKey(name))
                .filter(name -> now >= progress.notBefore.getOrDefault(name, Long.MIN_VALUE))
                .filter(name -> machines.containsKey(name))
                .map(machines::get)
                .filter(machine -> machine.condition() == MachineCondition.UP)
                .sorted(Comparator.comparing(
                                (MachineEntry machine) -> !progress.closedAt.containsKey(machine.machine()))
                        .thenComparingInt(machine -> view.lastingRuns(machine.host()))
                        .thenComparingInt(machine -> view.unfinished(machine.host())))
                .toList();
    }

    /** Takes the answer to an order. */
    public void answered(Order order, MachineOutcome outcome, MachineView view, long now) {
        Progress progress = waves.get(order.wave());
        if (progress == null) {
            return;
        }
        progress.asked.remove(order.machine());
        switch (outcome) {
            case BEGUN -> {
                progress.finished.add(order.machine());
                progress.down.put(order.machine(), now);
            }
            case IMPOSSIBLE -> {
                progress.finished.add(order.machine());
                view.cordon(order.host(), false);
                view.leaving(order.host(), false);
            }
            case UNKNOWN -> {
                progress.down.put(order.machine(), now);
                progress.notBefore.put(order.machine(), now + REPEAT_MILLISECONDS);
            }
            default -> {
                view.leaving(order.host(), false);
                progress.notBefore.put(order.machine(), now + REPEAT_MILLISECONDS);
            }
        }
    }

    /** Returns machines that are about to go down, or may be down. */
    public Set<String> reserved() {
        Set<String> reserved = new HashSet<>();
        for (Progress progress : waves.values()) {
            if (!progress.reported) {
                reserved.addAll(progress.closedAt.keySet());
                reserved.addAll(progress.asked.keySet());
                reserved.addAll(progress.down.keySet());
            }
        }
        return reserved;
    }

    /** Returns what is to be kept of a wave. */
    public WaveProgress progress(long number) {
        Progress progress = waves.get(number);
        return progress == null
                ? new WaveProgress(number, 0, Set.of())
                : new WaveProgress(number, progress.startedMilliseconds, progress.finished);
    }

    /** Returns waves whose machines have all begun their maintenance, and that are not reported yet. */
    public List<Long> completed() {
        return waves.values().stream()
                .filter(progress -> !progress.reported && progress.finished.containsAll(progress.wave.machines()))
                .map(progress -> progress.wave.number())
                .toList();
    }

    /** Returns waves that run and are not reported yet. */
    public List<Long> running() {
        return waves.values().stream()
                .filter(progress -> !progress.reported)
                .map(progress -> progress.wave.number())
                .toList();
    }

    /** Takes that the completion of a wave is in the store. */
    public void reported(long number) {
        Progress progress = waves.get(number);
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
    private static final class Progress {
        private final UpkeepWave wave;
        private final Set<String> finished = new HashSet<>();
        private final Map<String, Long> down = new HashMap<>();
        private final Map<String, Long> asked = new HashMap<>();
        private final Map<String, Long> closedAt = new HashMap<>();
        private final Map<String, Long> notBefore = new HashMap<>();
        private long startedMilliseconds;
        private boolean reported;

        Progress(UpkeepWave wave, long startedMilliseconds) {
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
