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
import org.cicadalead.logic.planning.Decision;
import org.cicadalead.logic.planning.HostObserver;
import org.cicadalead.logic.planning.HostObserver.Observation;
import org.cicadalead.logic.planning.MaintenanceSteps;
import org.cicadalead.logic.planning.PlanningInput;
import org.cicadalead.logic.planning.PlanningRound;
import org.cicadalead.logic.planning.StandingDecisions;
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
 * Runs the planners of one process. Rounds run one at a time on a thread of their own, as they ask the platform; a
 * round that is late is skipped. Without the platform nothing is planned, and hosts under way stay as they are. The
 * sets that the request path reads are replaced as a whole; safe for use by several threads.
 */
public final class PlanningService implements AutoCloseable {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final int LARGEST_JITTER_MILLISECONDS = 900;

    private final ProcessIdentifier process;
    private final Supplier<SharedState> state;
    private final HostDirectory directory;
    private final HostMaintenance maintenance;
    private final RequestEvidence requests;
    private final Function<Command, CompletableFuture<CommandOutcome>> submit;
    private final TimerService timers;
    private final EventSink events;
    private final List<PlacementControl> controls = new CopyOnWriteArrayList<>();
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private final ExecutorService thread = HttpServers.daemonThreads("planning");
    private final AtomicBoolean running = new AtomicBoolean();
    private final DemandWindow demand = new DemandWindow();
    private final StandingDecisions standing = new StandingDecisions();
    private final Map<String, List<EventDetail>> lastWaits = new HashMap<>();
    private HostObserver observer = HostObserver.initial();
    private StepAges ages = StepAges.initial();
    private Set<HostName> suspects = Set.of();
    private volatile Set<HostName> leaving = Set.of();

    /** Creates a service; {@link #start} starts it. */
    public PlanningService(
            ProcessIdentifier process,
            Supplier<SharedState> state,
            PlatformPorts platform,
            RequestEvidence requests,
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

    /** Adds a part of the process that places work; without any part no drain is confirmed. */
    public void addPlacements(PlacementControl control) {
        controls.add(control);
    }

    /** Starts the rounds, each process at a time of its own within the period. */
    public void start() {
        Duration jitter = Duration.ofMillis(ThreadLocalRandom.current().nextInt(LARGEST_JITTER_MILLISECONDS));
        subscriptions.add(timers.after(jitter, () -> subscriptions.add(timers.every(PERIOD, this::startRound))));
    }

    /**
     * Returns hosts that the platform has announced to leave, at once and also while the log is down; no new work goes
     * there.
     */
    public Set<HostName> leavingHosts() {
        return leaving;
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
        thread.shutdownNow();
    }

    private void startRound() {
        if (!running.compareAndSet(false, true)) {
            return;
        }
        thread.execute(() -> {
            try {
                round();
            } catch (CicadaleadException unavailable) {
                // The platform cannot be asked: the next round tries again, and nothing is planned without it.
                lastWaits.clear();
            } finally {
                running.set(false);
            }
        });
    }

    /** Observes, plans and appends once; for use by one thread at a time. */
    void round() {
        SharedState current = state.get();
        if (!current.members().containsKey(process)) {
            return;
        }
        Map<HostName, HostHealth> listed = directory.list().stream()
                .collect(Collectors.toMap(DirectoryEntry::host, DirectoryEntry::health, (first, second) -> second));
        Set<HostName> failingHere =
                current.hosts().keySet().stream().filter(requests.failing()).collect(Collectors.toSet());
        Observation observation = observer.observe(current, listed, failingHere);
        observer = observation.next();
        noteLeaving(observation.leaving());
        noteSuspects(observation.suspects());
        observation
                .command()
                .ifPresent(command -> append(Decision.append(
                        command,
                        EventKind.HOST_OBSERVED,
                        process,
                        EventDetail.of("observations", command.observations()),
                        EventDetail.of("offset", current.offset()))));
        confirmDrains(current);
        plan(current, observation, listed);
    }

    private void plan(SharedState current, Observation observation, Map<HostName, HostHealth> listed) {
        long now = timers.wallClockMilliseconds();
        ages = ages.at(current, now);
        demand.add(now, requests.usage().busyHosts());
        Set<HostName> listedUp = listed.entrySet().stream()
                .filter(entry -> entry.getValue() == HostHealth.UP)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        PlanningInput input = new PlanningInput(
                current,
                CapacityPolicy.SHARED_SPARE,
                observation.suspects(),
                demand.sustained(),
                rebootAndAsk(current),
                listedUp,
                ages,
                now);
        List<Decision> decisions = PlanningRound.plan(input);
        Set<Command> due = new HashSet<>(standing.due(decisions, current, process, now));
        for (Decision decision : decisions) {
            if (decision.command().isEmpty()) {
                reportWait(decision);
            } else if (due.contains(decision.command().get())) {
                append(decision);
            }
        }
    }

    /** Asks for the reboots that are due, as every process does, and for the condition of hosts under maintenance. */
    private Map<HostName, HostCondition> rebootAndAsk(SharedState current) {
        Map<HostName, HostCondition> conditions = new HashMap<>();
        for (HostState host : current.hosts().values()) {
            if (host.wave().isEmpty()) {
                continue;
            }
            HostCondition condition = maintenance.condition(host.name());
            Optional<Long> reboot = MaintenanceSteps.rebootOf(current, host);
            if (reboot.isPresent() && condition.operation() < reboot.get()) {
                maintenance.reboot(host.name(), reboot.get());
                condition = maintenance.condition(host.name());
            }
            conditions.put(host.name(), condition);
        }
        return conditions;
    }

    /** Connections are closed before the count is read once more: nothing that was chosen earlier can use them now. */
    private void confirmDrains(SharedState current) {
        Set<HostName> idle = new HashSet<>();
        for (HostState host : current.hosts().values()) {
            if (host.wave().isPresent() && isQuiet(host.name())) {
                controls.forEach(control -> control.closeConnections(host.name()));
                if (isQuiet(host.name())) {
                    idle.add(host.name());
                }
            }
        }
        PlanningRound.confirmations(current, process, idle).forEach(this::append);
    }

    private boolean isQuiet(HostName host) {
        return !controls.isEmpty() && controls.stream().allMatch(control -> control.countInFlight(host) == 0);
    }

    private void noteSuspects(Set<HostName> now) {
        for (HostName host : now) {
            if (!suspects.contains(host)) {
                events.emit(EventKind.HOST_SUSPECTED, Optional.empty(), EventDetail.of("host", host));
            }
        }
        suspects = now;
    }

    private void noteLeaving(Set<HostName> now) {
        for (HostName host : now) {
            if (!leaving.contains(host)) {
                events.emit(EventKind.HOST_LEAVING, Optional.of(host.value()));
            }
        }
        leaving = now;
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

    /** A wait is reported when its reason changes. */
    private void reportWait(Decision decision) {
        List<EventDetail> reason = decision.details().stream()
                .filter(detail -> !detail.name().equals("offset"))
                .toList();
        String key = decision.kind() + " " + decision.cause().orElse("");
        if (!reason.equals(lastWaits.put(key, reason))) {
            events.emit(decision.kind(), decision.cause(), decision.details().toArray(EventDetail[]::new));
        }
    }

    /**
     * What the requests of this process tell planning. Immutable.
     *
     * @param usage hosts that work keeps busy
     * @param failing whether requests to a host fail
     */
    public record RequestEvidence(DemandSource usage, Predicate<HostName> failing) {}

    /**
     * The ports to the platform that planning uses. Immutable.
     *
     * @param directory the list of hosts
     * @param maintenance reboots
     */
    public record PlatformPorts(HostDirectory directory, HostMaintenance maintenance) {}
}
