package org.cicadalead.adapters.entry;

import com.sun.net.httpserver.HttpExchange;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.administration.ConfigurationRoutes;
import org.cicadalead.adapters.administration.StateRoutes;
import org.cicadalead.adapters.event.TimelineRecorder;
import org.cicadalead.adapters.event.TimelineRoutes;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.job.JobRoutes;
import org.cicadalead.adapters.job.JobService;
import org.cicadalead.adapters.membership.ContactTrackingLog;
import org.cicadalead.adapters.membership.EntryMembership;
import org.cicadalead.adapters.membership.MembershipStatus;
import org.cicadalead.adapters.planning.PlanningService;
import org.cicadalead.adapters.planning.PoolUsage;
import org.cicadalead.adapters.planning.WaveRoutes;
import org.cicadalead.adapters.platform.HttpPlatform;
import org.cicadalead.adapters.platform.HttpTaskPlatform;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.adapters.replica.SharedStateService;
import org.cicadalead.adapters.request.CallerServer;
import org.cicadalead.adapters.request.MembershipMonitor;
import org.cicadalead.adapters.request.RequestPorts;
import org.cicadalead.adapters.security.OperatorAuthenticator;
import org.cicadalead.adapters.security.SharedKeyFile;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.request.RequestLimits;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.state.SharedState;

/**
 * One entry process: request path, replica, membership and planners on the same shared state. Parts are started in
 * dependency order and stopped in reverse. Safe for use by several threads.
 */
public final class EntryProcess implements AutoCloseable {
    private static final int UNAVAILABLE = 503;
    private static final int OK = 200;
    private static final Duration READY_CHECK = Duration.ofMillis(100);
    private static final Duration SHUTDOWN_POLL = Duration.ofMillis(20);

    private final EntrySettings settings;
    private final ProcessIdentifier identifier =
            new ProcessIdentifier(UUID.randomUUID().toString());
    private final SharedStateReplica replica = new SharedStateReplica();
    private final TimelineRecorder timeline;
    private final SystemTimerService timers;
    private final SharedStateService sharedState;
    private final SharedKeyFile keys;
    private final OperatorAuthenticator gate;
    private final EntryMembership membership;
    private final CallerServer callers;
    private final JobService jobs;
    private final PlanningService planning;
    private final AdministrationServer administration;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MembershipMonitor memberWatch = new MembershipMonitor(identifier);
    private volatile boolean stopping;
    private boolean reportedReady;

    /** Starts a process. */
    public EntryProcess(EntrySettings settings) {
        this.settings = settings;
        timeline = new TimelineRecorder(
                identifier, settings.zone(), () -> replica.state().offset(), System::currentTimeMillis);
        timers = new SystemTimerService(failure ->
                timeline.emit(EventKind.INTERNAL_FAILURE, Optional.empty(), EventDetail.of("failure", failure)));
        HttpPlatform platform = new HttpPlatform(settings.platformAddress());
        ContactTrackingLog log = new ContactTrackingLog(platform, timers);
        keys = new SharedKeyFile(settings.keyFile().map(Path::of), timeline);
        EntryMembership.requireKeysBeyondLoopback(settings, keys.keys());
        replica.addListener(memberWatch);
        sharedState = new SharedStateService(log, identifier, replica, timers, timeline);
        membership = new EntryMembership(
                settings, identifier, replica, sharedState.appender(), log, keys::keys, timers, timeline);
        sharedState.usePeers(membership.channel());
        planning = new PlanningService(
                identifier,
                replica::state,
                new PlanningService.PlatformPorts(platform, platform),
                new PlanningService.RequestObservations(this::usage, this::isFailing),
                sharedState.appender()::submit,
                timers,
                timeline);
        callers = new CallerServer(settings, RequestLimits.DEFAULT, requestPorts());
        gate = new OperatorAuthenticator(keys::keys, System::currentTimeMillis);
        administration = new AdministrationServer(settings, gate);
        membership.addPlacements(callers.placements());
        jobs = new JobService(
                identifier,
                replica,
                new HttpTaskPlatform(settings.platformAddress()),
                sharedState.appender()::submit,
                timeline,
                timers);
        membership.addPlacements(jobs);
        membership.useMaintenance(platform);
        planning.addPlacementControl(callers.placements());
        planning.addPlacementControl(jobs);
        callers.addContext(JobRoutes.JOBS_PATH, jobs.routes());
        jobs.routes().addTo(administration);
        addRoutes();
        keys.start(timers);
        membership.start();
        sharedState.start();
        planning.start();
        administration.start();
        timers.every(READY_CHECK, this::reportReady);
        timeline.emit(EventKind.PROCESS_STARTED, Optional.empty(), EventDetail.of("zone", settings.zone()));
    }

    /** Returns the process's identifier. */
    public ProcessIdentifier identifier() {
        return identifier;
    }

    /** Returns where callers reach it. */
    public NetworkAddress callerAddress() {
        return callers.address();
    }

    /** Returns where operators reach it. */
    public NetworkAddress administrationAddress() {
        return administration.address();
    }

    /** Returns the newest shared state of this process. */
    public SharedState state() {
        return replica.state();
    }

    /** Tells whether it takes requests. */
    public boolean isReady() {
        return !stopping && membership.mayServe() && sharedState.isReady() && callers.isReady();
    }

    /**
     * Stops gracefully: says that it is not ready, goes on for the balancer's delay, then waits until every request in
     * flight is answered. Returns the number of requests that were left when the shutdown limit had passed.
     */
    public int stopGracefully() {
        stopping = true;
        timeline.emit(EventKind.PROCESS_STOPPING, Optional.empty());
        callers.closeConnectionsAfterResponses();
        sleep(settings.balancerDelay());
        callers.stopAccepting();
        long deadline = System.nanoTime() + settings.shutdownLimit().toNanos();
        while ((left() > 0 || !callers.hasNoLoans()) && System.nanoTime() < deadline) {
            sleep(SHUTDOWN_POLL);
        }
        int left = left();
        if (left == 0) {
            callers.announceIdle();
        }
        callers.close();
        membership.leave();
        timeline.emit(EventKind.PROCESS_STOPPED, Optional.empty(), EventDetail.of("left", left));
        close();
        return left;
    }

    @Override
    public void close() {
        callers.close();
        planning.close();
        jobs.close();
        membership.close();
        keys.close();
        sharedState.close();
        administration.close();
        timers.close();
    }

    /** Called by the timer's thread only. */
    private void reportReady() {
        boolean ready = isReady();
        if (ready && !reportedReady) {
            timeline.emit(EventKind.PROCESS_READY, Optional.empty());
        }
        reportedReady = ready;
    }

    private int left() {
        return callers.inFlight() + jobs.routes().inFlight();
    }

    /** The platform's announcement counts at once, also while the log cannot be told. */
    private boolean mayPlace(HostState chosen) {
        return !planning.leavingHosts().contains(chosen.name())
                && membership.view().mayPlace(chosen);
    }

    private Map<PoolName, Double> usage() {
        return new PoolUsage(replica::state, callers.placements(), callers::countWaiting).busyHosts();
    }

    private boolean isFailing(HostName host) {
        return callers.isFailing(host);
    }

    private RequestPorts requestPorts() {
        return new RequestPorts(
                identifier,
                replica::state,
                this::mayPlace,
                Optional.of(membership.channel()),
                memberWatch,
                timers,
                timeline,
                metrics);
    }

    private void addRoutes() {
        Gauge.builder("cicadalead.state.offset", () -> replica.state().offset()).register(metrics);
        Gauge.builder("cicadalead.requests.in.flight", callers::inFlight).register(metrics);
        Gauge.builder("cicadalead.administration.refusals", gate::rejectedRequests)
                .register(metrics);
        membership.register(metrics);
        membership.addTo(administration);
        new WaveRoutes(replica::state, sharedState.appender(), timers::wallClockMilliseconds).addTo(administration);
        new StateRoutes(replica::state, sharedState.appender()).addTo(administration);
        new ConfigurationRoutes(identifier, replica::state, sharedState::peers).addTo(administration);
        administration.route("GET", "/healthz", exchange -> JsonExchange.respondText(exchange, OK, "ok\n"));
        administration.route("GET", "/readyz", this::answerReady);
        administration.route("GET", "/metrics", exchange -> JsonExchange.respondText(exchange, OK, metrics.scrape()));
        administration.route("GET", "/status", exchange -> JsonExchange.respond(exchange, status()));
        new TimelineRoutes(timeline).addTo(administration);
    }

    private void answerReady(HttpExchange exchange) throws IOException {
        boolean ready = isReady();
        JsonExchange.respondText(exchange, ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private StatusView status() {
        SharedState state = replica.state();
        return new StatusView(
                identifier,
                settings.zone().value(),
                isReady(),
                sharedState.follower().isReachable(),
                state.offset(),
                state.configuration().version(),
                membership.status(),
                callers.inFlight());
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A process's own view.
     *
     * @param process the process
     * @param zone its availability zone
     * @param ready whether it takes requests
     * @param platformReachable whether the last read reached the platform
     * @param offset offset that it has folded up to
     * @param configurationVersion the configuration in force here
     * @param membership entry processes that may place work, and what waits for whom
     * @param requestsInFlight requests not answered yet
     */
    public record StatusView(
            ProcessIdentifier process,
            String zone,
            boolean ready,
            boolean platformReachable,
            long offset,
            long configurationVersion,
            MembershipStatus membership,
            int requestsInFlight) {}
}
