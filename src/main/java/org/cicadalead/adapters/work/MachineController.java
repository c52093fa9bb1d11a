package org.cicadalead.adapters.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.logic.work.MachineMaintenancePlanner;
import org.cicadalead.logic.work.MachineOrderGate;
import org.cicadalead.logic.work.MachineView;
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
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;

/** Carries out maintenance waves and moves machines between pools. Used on the scheduling thread. */
final class MachineController {
    /** Interval between two reads of the machine list while a wave, a move or a takeover is in progress. */
    private static final long ACTIVE_LIST_INTERVAL_MILLISECONDS = 800;

    /** Interval between two reads of the machine list otherwise; detects machines that have left. */
    private static final long IDLE_LIST_INTERVAL_MILLISECONDS = 4_000;

    private final SchedulingTerm term;
    private final SchedulingPorts ports;
    private final long epoch;
    private final MachineView view;
    private final MachineMaintenancePlanner planner;
    private final PoolBalancer balancer;
    private final MachineOrderGate gate = new MachineOrderGate();
    private final WorkScheduler scheduler;
    private final TermAppender statusAppender;
    private final JobRecords records;
    private final TermAppender progressAppender;
    private final List<WaveProgress> restoredWaves;
    private final Map<String, String> hostByMachine = new HashMap<>();
    private final Set<Long> reportedRunning = new HashSet<>();
    private final Set<Long> reportedCompleted = new HashSet<>();
    private boolean statusRead;
    private boolean listInFlight;
    private boolean statusReadInFlight;
    private long nextListAt = Long.MIN_VALUE;

    MachineController(
            SchedulingTerm term,
            SchedulingPorts ports,
            WorkScheduler scheduler,
            SchedulingTerms terms,
            JobRecords records,
            TermAppender progressAppender,
            List<WaveProgress> restoredWaves,
            long epoch) {
        this.records = records;
        this.progressAppender = progressAppender;
        this.restoredWaves = List.copyOf(restoredWaves);
        this.term = term;
        this.ports = ports;
        this.scheduler = scheduler;
        this.epoch = epoch;
        this.view = scheduler.createMachineView();
        this.balancer = new PoolBalancer(ports.machines().maximumOrdersPerSecond());
        this.planner = new MachineMaintenancePlanner(terms.maintenanceMilliseconds());
        this.statusAppender =
                new TermAppender(ports.store(), List.of(Topic.STATUS), ports.timers(), epoch, ports.onSuperseded());
    }

    /**
     * Decides on maintenance and moves.
     *
     * @param mayLead whether this process may still lead by the age of its last confirmed record
     * @param unconfirmedMilliseconds that age
     */
    void runCycle(WorkTime now, boolean mayLead, long unconfirmedMilliseconds) {
        ports.operator().waves().forEach(wave -> planner.addWave(wave, now));
        if (!mayLead || ports.operator().plan().isEmpty()) {
            return;
        }
        PoolView pools = scheduler.createPoolView(ports.operator().plan().get(), now);
        if (planner.isActive() && !statusRead) {
            readStatus();
        }
        boolean wavesReady = planner.isActive() && statusRead;
        boolean serviceIsClosed = !scheduler.findBlockingHosts(now).isEmpty();
        if (wavesReady || serviceIsClosed || balancer.isMachineListNeeded(pools, now.monotonic())) {
            refreshMachines(now, ACTIVE_LIST_INTERVAL_MILLISECONDS);
        } else {
            refreshMachines(now, IDLE_LIST_INTERVAL_MILLISECONDS);
        }
        boolean canOrder = gate.isOpen(now.monotonic(), unconfirmedMilliseconds);
        if (wavesReady && canOrder) {
            planner.decide(view, now, balancer.isWaitingForMachines(pools)).forEach(this::orderMaintenance);
        }
        if (wavesReady) {
            planner.findRunningWaves().forEach(wave -> report(wave, false));
            planner.findCompletedWaves().forEach(wave -> report(wave, true));
        }
        if (canOrder) {
            balancer.decide(pools, view, planner.findReservedMachines(), now.monotonic())
                    .forEach(this::orderMove);
        }
    }

    private void orderMove(PoolBalancer.Move move) {
        view.setLeaving(move.host(), true);
        gate.onSent(move.machine(), term.now().monotonic());
        ports.machines()
                .move(move.machine(), move.pool(), epoch)
                .thenAccept(outcome -> term.enqueue(() -> {
                    gate.onCallEnded(move.machine());
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
        if (statusReadInFlight) {
            return;
        }
        statusReadInFlight = true;
        statusAppender
                .fence()
                .thenCompose(fenced -> ports.store().snapshot(Topic.STATUS))
                .exceptionally(failure -> {
                    ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("status", failure));
                    return new Snapshot(false, List.of(), 0);
                })
                .thenAccept(snapshot -> term.enqueue(() -> {
                    statusReadInFlight = false;
                    statusRead = snapshot.complete();
                    snapshot.records().stream()
                            .flatMap(stored -> ports.registry().decodeCompletedWave(stored).stream())
                            .forEach(planner::markCompletedEarlier);
                    restoredWaves.forEach(planner::restoreProgress);
                }));
    }

    private void refreshMachines(WorkTime now, long interval) {
        if (listInFlight || now.monotonic() < nextListAt) {
            return;
        }
        listInFlight = true;
        nextListAt = now.monotonic() + interval;
        Calls.attempt(() -> ports.machines().list())
                .exceptionally(failure -> {
                    ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("machines", failure));
                    return Optional.empty();
                })
                .thenAccept(result -> term.enqueue(() -> {
                    listInFlight = false;
                    result.ifPresent(machines -> applyMachines(machines, now.monotonic()));
                }));
    }

    /**
     * Applies the machine list: a machine that is moving, in maintenance or carries another host no longer runs its
     * previous host. A machine without a host proves nothing, as its host may only be cut off.
     */
    private void applyMachines(List<MachineEntry> machines, long requestedAtMilliseconds) {
        planner.updateMachines(machines, requestedAtMilliseconds);
        balancer.updateMachines(machines);
        view.updateMachines(machines);
        for (MachineEntry machine : machines) {
            boolean hostEnded = machine.condition().endsHost();
            String previousHost = hostByMachine.getOrDefault(machine.machine(), machine.host());
            if (hostEnded) {
                view.onHostDown(machine.host().isEmpty() ? previousHost : machine.host(), requestedAtMilliseconds);
            }
            if (!machine.host().isEmpty()) {
                if (!previousHost.equals(machine.host())) {
                    view.onHostReplaced(previousHost);
                }
                hostByMachine.put(machine.machine(), machine.host());
            }
            boolean remainsInService = machine.condition() == MachineCondition.UP
                    && !balancer.isMoving(machine.machine())
                    && !planner.findReservedMachines().contains(machine.machine());
            if (remainsInService) {
                view.setLeaving(machine.host(), false);
            }
        }
    }

    private void orderMaintenance(MachineMaintenancePlanner.Order order) {
        gate.onSent(order.machine(), term.now().monotonic());
        ports.machines()
                .maintain(order.machine(), order.wave(), epoch)
                .thenAccept(outcome -> term.enqueue(() -> {
                    gate.onCallEnded(order.machine());
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
                        progressAppender.append(List.of(records.encodeWave(planner.createProgress(order.wave()))));
                    }
                }));
    }

    private void report(long wave, boolean completed) {
        boolean firstReport = completed ? reportedCompleted.add(wave) : reportedRunning.add(wave);
        if (!firstReport) {
            return;
        }
        statusAppender
                .append(List.of(ports.registry().encodeWaveStatus(wave, completed)))
                .thenRun(() -> term.enqueue(() -> {
                    if (completed) {
                        planner.markReported(wave);
                        ports.log().emit(EventKind.WAVE_COMPLETED, EventDetail.of("wave", wave));
                    }
                }));
    }

    void close() {
        statusAppender.close();
    }
}
