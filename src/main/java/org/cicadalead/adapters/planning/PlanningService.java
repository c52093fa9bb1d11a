package org.cicadalead.adapters.planning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.logic.capacity.DemandWindow;
import org.cicadalead.logic.planning.CommandStagger;
import org.cicadalead.logic.planning.Decision;
import org.cicadalead.logic.planning.HostObserver;
import org.cicadalead.logic.planning.HostObserver.Observation;
import org.cicadalead.logic.planning.MaintenanceSteps;
import org.cicadalead.logic.planning.PlanningCycle;
import org.cicadalead.logic.planning.PlanningInput;
import org.cicadalead.logic.planning.StepAges;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.DemandSource;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.HostDirectory;
import org.cicadalead.ports.HostDirectory.DirectoryEntry;
import org.cicadalead.ports.HostMaintenance;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.TimerService;

/**
 * Runs the planners of one process periodically. Cycles run one at a time on a thread of their own, as they call the
 * platform; a cycle is skipped while the previous one still runs. While the platform is unavailable nothing is planned,
 * and hosts in maintenance stay at their step. The set that the request path reads is replaced as a whole; safe for use
 * by several threads.
 */
public final class PlanningService implements AutoCloseable {
    private static final Duration CYCLE_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_JITTER_MILLISECONDS = 900;

    private final ProcessIdentifier process;
    private final Supplier<SharedState> state;
    private final HostDirectory directory;
    private final HostMaintenance maintenance;
    private final RequestObservations requests;
    private final Function<Command, CompletableFuture<CommandOutcome>> submit;
    private final TimerService timers;
    private final EventSink events;
    private final List<PlacementControl> placementControls = new CopyOnWriteArrayList<>();
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private final ExecutorService executor = HttpServers.createDaemonExecutor("planning");
    private final AtomicBoolean cycleRunning = new AtomicBoolean();
    private final DemandWindow demand = new DemandWindow();
    private final CommandStagger stagger = new CommandStagger();
    private final Map<String, List<EventDetail>> lastReportedWaits = new HashMap<>();
    private HostObserver observer = HostObserver.initial();
    private StepAges ages = StepAges.initial();
    private Set<HostName> suspects = Set.of();
    private volatile Set<HostName> leaving = Set.of();

    /** Creates a service that runs once {@link #start} is called. */
    public PlanningService(
            ProcessIdentifier process,
            Supplier<SharedState> state,
            PlatformPorts platform,
            RequestObservations requests,
            Function<Command, CompletableFuture<CommandOutcome>> submit,
            TimerService timers,
            EventSink events) {
        this.process = process;
        this.state = state;
        this.directory = platform.directory();
        this.maintenance = platform.maintenance();
        this.requests = requests;
        this.submit = submit;
        this.timers = timers;
        this.events = events;
    }

    /** Adds a component of the process that places work; without any such component no drain is confirmed. */
    public void addPlacementControl(PlacementControl control) {
        placementControls.add(control);
    }

    /** Starts the cycles after a random delay, so that processes do not run them at the same time. */
    public void start() {
        Duration jitter = Duration.ofMillis(ThreadLocalRandom.current().nextInt(MAX_JITTER_MILLISECONDS));
        subscriptions.add(
                timers.after(jitter, () -> subscriptions.add(timers.every(CYCLE_INTERVAL, this::startCycle))));
    }

    /**
     * Returns the hosts that the platform has announced to leave, which get no new work. The set is up to date even
     * while the log is down.
     */
    public Set<HostName> leavingHosts() {
        return leaving;
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
        executor.shutdownNow();
    }

    private void startCycle() {
        if (!cycleRunning.compareAndSet(false, true)) {
            return;
        }
        executor.execute(() -> {
            try {
                runCycle();
            } catch (CicadaleadException unavailable) {
                // The platform is unavailable: nothing is planned, and the next cycle tries again.
                lastReportedWaits.clear();
            } finally {
                cycleRunning.set(false);
            }
        });
    }

    /** Observes hosts, plans and appends commands once. Must not run on several threads at the same time. */
    void runCycle() {
        SharedState current = state.get();
        if (!current.members().containsKey(process)) {
            return;
        }
        Map<HostName, HostHealth> listed = directory.list().stream()
                .collect(Collectors.toMap(DirectoryEntry::host, DirectoryEntry::health, (first, second) -> second));
        Set<HostName> locallyFailing =
                current.hosts().keySet().stream().filter(requests.failing()).collect(Collectors.toSet());
        Observation observation = observer.observe(current, listed, locallyFailing);
        observer = observation.nextObserver();
        updateLeavingHosts(observation.leaving());
        updateSuspects(observation.suspects());
        observation
                .command()
                .ifPresent(command -> append(Decision.toAppend(
                        command,
                        EventKind.HOST_OBSERVED,
                        process,
                        EventDetail.of("observations", command.observations()),
                        EventDetail.of("offset", current.offset()))));
        confirmDrains(current);
        plan(current, observation, listed);
    }

    private void plan(SharedState current, Observation observation, Map<HostName, HostHealth> listed) {
        long nowMilliseconds = timers.wallClockMilliseconds();
        ages = ages.withStateAt(current, nowMilliseconds);
        demand.add(nowMilliseconds, requests.usage().busyHosts());
        Set<HostName> hostsListedAsUp = listed.entrySet().stream()
                .filter(entry -> entry.getValue() == HostHealth.UP)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        PlanningInput input = new PlanningInput(
                current,
                CapacityPolicy.SHARED_SPARE,
                observation.suspects(),
                demand.sustainedDemand(),
                requestRebootsAndReadConditions(current),
                hostsListedAsUp,
                ages,
                nowMilliseconds);
        List<Decision> decisions = PlanningCycle.plan(input);
        Set<Command> due = new HashSet<>(stagger.takeDueCommands(decisions, current, process, nowMilliseconds));
        for (Decision decision : decisions) {
            if (decision.command().isEmpty()) {
                reportWait(decision);
            } else if (due.contains(decision.command().get())) {
                append(decision);
            }
        }
    }

    /**
     * Requests the reboots that are due, as every process does, and reads the reboot condition of hosts under
     * maintenance.
     */
    private Map<HostName, HostCondition> requestRebootsAndReadConditions(SharedState current) {
        Map<HostName, HostCondition> conditions = new HashMap<>();
        for (HostState host : current.hosts().values()) {
            if (host.wave().isEmpty()) {
                continue;
            }
            HostCondition condition = maintenance.condition(host.name());
            Optional<Long> reboot = MaintenanceSteps.findRebootNumber(current, host);
            if (reboot.isPresent() && condition.operation() < reboot.get()) {
                maintenance.reboot(host.name(), reboot.get());
                condition = maintenance.condition(host.name());
            }
            conditions.put(host.name(), condition);
        }
        return conditions;
    }

    /**
     * Confirms the drains of idle hosts. The requests in flight are counted again after the connections are closed, so
     * that no request that chose the host earlier can still use them.
     */
    private void confirmDrains(SharedState current) {
        Set<HostName> idleHosts = new HashSet<>();
        for (HostState host : current.hosts().values()) {
            if (host.wave().isPresent() && isIdle(host.name())) {
                placementControls.forEach(control -> control.closeConnections(host.name()));
                if (isIdle(host.name())) {
                    idleHosts.add(host.name());
                }
            }
        }
        PlanningCycle.planDrainConfirmations(current, process, idleHosts).forEach(this::append);
    }

    private boolean isIdle(HostName host) {
        return !placementControls.isEmpty()
                && placementControls.stream().allMatch(control -> control.countInFlight(host) == 0);
    }

    private void updateSuspects(Set<HostName> newSuspects) {
        for (HostName host : newSuspects) {
            if (!suspects.contains(host)) {
                events.emit(EventKind.HOST_SUSPECTED, Optional.empty(), EventDetail.of("host", host));
            }
        }
        suspects = newSuspects;
    }

    private void updateLeavingHosts(Set<HostName> newLeaving) {
        for (HostName host : newLeaving) {
            if (!leaving.contains(host)) {
                events.emit(EventKind.HOST_LEAVING, Optional.of(host.value()));
            }
        }
        leaving = newLeaving;
    }

    private void append(Decision decision) {
        submit.apply(decision.command().orElseThrow()).whenComplete((outcome, failure) -> {
            if (outcome instanceof CommandOutcome.Accepted accepted) {
                events.emit(decision.kind(), decision.cause(), withOffset(decision, accepted.offset()));
            }
        });
    }

    private static EventDetail[] withOffset(Decision decision, long offset) {
        List<EventDetail> details = new ArrayList<>(decision.details());
        details.add(EventDetail.of("accepted-at", offset));
        return details.toArray(EventDetail[]::new);
    }

    /** Reports a wait only if its reason has changed since the last report. */
    private void reportWait(Decision decision) {
        List<EventDetail> details = decision.details().stream()
                .filter(detail -> !detail.name().equals("offset"))
                .toList();
        String key = decision.kind() + " " + decision.cause().orElse("");
        if (!details.equals(lastReportedWaits.put(key, details))) {
            events.emit(decision.kind(), decision.cause(), decision.details().toArray(EventDetail[]::new));
        }
    }

    /**
     * Observations of the requests of this process, as input of planning. Immutable.
     *
     * @param usage number of hosts that work keeps busy, by pool
     * @param failing tells whether requests to a host fail
     */
    public record RequestObservations(DemandSource usage, Predicate<HostName> failing) {}

    /**
     * The ports to the platform that planning uses. Immutable.
     *
     * @param directory the platform's list of hosts
     * @param maintenance requests reboots and reads their condition
     */
    public record PlatformPorts(HostDirectory directory, HostMaintenance maintenance) {}
}
