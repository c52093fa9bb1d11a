package org.cicadalead.adapters.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.logic.work.MachineView;
import org.cicadalead.logic.work.MaintenancePlanner;
import org.cicadalead.logic.work.PoolBalancer;
import org.cicadalead.logic.work.PoolView;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.model.work.WaveProgress;
import org.cicadalead.ports.RecordStore.Topic;

/** Carries out maintenance waves and moves between pools. Used on the scheduling thread. */
final class MachineControl {
    /** Time between two readings of the list of machines while a wave or a move goes on. */
    private static final long LIST_PERIOD_MILLISECONDS = 800;

    /** Time between two readings of the list of machines otherwise, so that machines which left are noticed. */
    private static final long IDLE_LIST_PERIOD_MILLISECONDS = 4_000;

    private final SchedulingTerm term;
    private final SchedulingPorts ports;
    private final long epoch;
    private final MachineView view;
    private final MaintenancePlanner planner;
    private final PoolBalancer balancer = new PoolBalancer();
    private final WorkScheduler scheduler;
    private final TermAppender status;
    private final JobRecords records;
    private final TermAppender progress;
    private final List<WaveProgress> kept;
    private final Map<String, String> hostByMachine = new HashMap<>();
    private final Set<Long> reportedRunning = new HashSet<>();
    private final Set<Long> reporting = new HashSet<>();
    private boolean statusRead;
    private boolean listing;
    private boolean readingStatus;
    private long nextListAt = Long.MIN_VALUE;

    MachineControl(
            SchedulingTerm term,
            SchedulingPorts ports,
            WorkScheduler scheduler,
            SchedulingTerms terms,
            JobRecords records,
            TermAppender progress,
            List<WaveProgress> kept,
            long epoch) {
        this.records = records;
        this.progress = progress;
        this.kept = List.copyOf(kept);
        this.term = term;
        this.ports = ports;
        this.scheduler = scheduler;
        this.epoch = epoch;
        this.view = scheduler.createMachineView();
        this.planner = new MaintenancePlanner(terms.maintenanceMilliseconds());
        this.status = new TermAppender(ports.store(), List.of(Topic.STATUS), ports.timers(), epoch, ports.superseded());
    }

    void round(WorkTime now, boolean mayOrder) {
        ports.operator().waves().forEach(wave -> planner.addWave(wave, now));
        if (!mayOrder || ports.operator().plan().isEmpty()) {
            return;
        }
        PoolView pools = scheduler.createPoolView(ports.operator().plan().get(), now);
        if (planner.isActive() && !statusRead) {
            readStatus();
        }
        boolean waves = planner.isActive() && statusRead;
        if (waves || balancer.isMachineListNeeded(pools, now.monotonic())) {
            readList(now, LIST_PERIOD_MILLISECONDS);
        } else {
            readList(now, IDLE_LIST_PERIOD_MILLISECONDS);
        }
        if (waves) {
            planner.decide(view, now, balancer.isWaitingForMachines(pools)).forEach(this::sendDown);
            planner.findRunningWaves().forEach(wave -> report(wave, false));
            planner.findCompletedWaves().forEach(wave -> report(wave, true));
        }
        balancer.decide(pools, view, planner.findReservedMachines(), now.monotonic())
                .forEach(this::sendMove);
    }

    private void sendMove(PoolBalancer.Move move) {
        view.setLeaving(move.host(), true);
        ports.machines()
                .move(move.machine(), move.pool(), epoch)
                .thenAccept(outcome -> term.enqueue(() -> {
                    ports.log()
                            .emit(
                                    EventKind.MACHINE_ORDERED,
                                    EventDetail.of("machine", move.machine()),
                                    EventDetail.of("host", move.host()),
                                    EventDetail.of("pool", move.pool()),
                                    EventDetail.of("outcome", outcome));
                    balancer.onMoveReply(move, outcome, term.now().monotonic());
                    if (outcome != MachineOutcome.BEGUN && outcome != MachineOutcome.UNKNOWN) {
                        view.setLeaving(move.host(), false);
                    }
                    nextListAt = Long.MIN_VALUE;
                }));
    }

    private void readStatus() {
        if (readingStatus) {
            return;
        }
        readingStatus = true;
        status.fence()
                .thenCompose(fenced -> ports.store().snapshot(Topic.STATUS))
                .thenAccept(snapshot -> term.enqueue(() -> {
                    readingStatus = false;
                    statusRead = snapshot.complete();
                    snapshot.records().stream()
                            .flatMap(stored -> ports.registry().completedWave(stored).stream())
                            .forEach(planner::markCompletedEarlier);
                    kept.forEach(planner::restoreProgress);
                }));
    }

    private void readList(WorkTime now, long period) {
        if (listing || now.monotonic() < nextListAt) {
            return;
        }
        listing = true;
        nextListAt = now.monotonic() + period;
        ports.machines()
                .list()
                .thenAccept(list -> term.enqueue(() -> {
                    listing = false;
                    list.ifPresent(machines -> take(machines, now.monotonic()));
                }));
    }

    /** A machine that is down or carries another host has ended the host that it carried. */
    private void take(List<MachineEntry> machines, long askedAt) {
        planner.updateMachines(machines, askedAt);
        balancer.updateMachines(machines);
        for (MachineEntry machine : machines) {
            boolean ended =
                    machine.condition() == MachineCondition.UPKEEP || machine.condition() == MachineCondition.MOVING;
            String before = hostByMachine.getOrDefault(machine.machine(), machine.host());
            if (ended || !before.equals(machine.host())) {
                view.onHostDown(before);
            }
            if (ended) {
                view.onHostDown(machine.host());
            }
            hostByMachine.put(machine.machine(), machine.host());
            boolean stays = machine.condition() == MachineCondition.UP
                    && !balancer.isMoving(machine.machine())
                    && !planner.findReservedMachines().contains(machine.machine());
            if (stays) {
                view.setLeaving(machine.host(), false);
            }
        }
    }

    private void sendDown(MaintenancePlanner.Order order) {
        ports.machines()
                .maintain(order.machine(), order.wave(), epoch)
                .thenAccept(outcome -> term.enqueue(() -> {
                    ports.log()
                            .emit(
                                    EventKind.MACHINE_ORDERED,
                                    EventDetail.of("machine", order.machine()),
                                    EventDetail.of("host", order.host()),
                                    EventDetail.of("wave", order.wave()),
                                    EventDetail.of("outcome", outcome));
                    planner.onOrderReply(order, outcome, view, term.now().monotonic());
                    nextListAt = Long.MIN_VALUE;
                    if (outcome == MachineOutcome.BEGUN || outcome == MachineOutcome.IMPOSSIBLE) {
                        progress.append(List.of(records.wave(planner.createProgress(order.wave()))));
                    }
                }));
    }

    private void report(long wave, boolean completed) {
        boolean due = completed ? reporting.add(wave) : reportedRunning.add(wave);
        if (!due) {
            return;
        }
        status.append(List.of(ports.registry().waveStatus(wave, completed)))
                .thenRun(() -> term.enqueue(() -> {
                    if (completed) {
                        planner.markReported(wave);
                        ports.log().emit(EventKind.WAVE_COMPLETED, EventDetail.of("wave", wave));
                    }
                }));
    }

    void close() {
        status.close();
    }
}
