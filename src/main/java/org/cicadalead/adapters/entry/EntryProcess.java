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
 * Creates, starts and stops the components of one entry process: the request path, the replica, the membership and the
 * planners, which all use the same shared state. Components start in dependency order and stop roughly in reverse.
 * Thread-safe.
 */
public final class EntryProcess implements AutoCloseable {
    private static final int UNAVAILABLE = 503;
    private static final int OK = 200;
    private static final Duration READY_CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration SHUTDOWN_POLL_PERIOD = Duration.ofMillis(20);

    private final EntrySettings settings;
    private final ProcessIdentifier identifier =
            new ProcessIdentifier(UUID.randomUUID().toString());
    private final SharedStateReplica replica = new SharedStateReplica();
    private final TimelineRecorder timeline;
    private final SystemTimerService timers;
    private final SharedStateService sharedState;
    private final SharedKeyFile keyFile;
    private final OperatorAuthenticator operatorGate;
    private final EntryMembership membership;
    private final CallerServer callerServer;
    private final JobService jobService;
    private final PlanningService planningService;
    private final AdministrationServer administrationServer;
    private final PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MembershipMonitor membershipMonitor = new MembershipMonitor(identifier);
    private volatile boolean stopping;
    private boolean reportedReady;

    /** Creates the components of the process and starts them. */
    public EntryProcess(EntrySettings settings) {
        this.settings = settings;
        timeline = new TimelineRecorder(
                identifier, settings.zone(), () -> replica.state().offset(), System::currentTimeMillis);
        timers = new SystemTimerService(failure ->
                timeline.emit(EventKind.INTERNAL_FAILURE, Optional.empty(), EventDetail.of("failure", failure)));
        HttpPlatform platform = new HttpPlatform(settings.platformAddress());
        ContactTrackingLog log = new ContactTrackingLog(platform, timers);
        keyFile = new SharedKeyFile(settings.keyFile().map(Path::of), timeline);
        EntryMembership.requireKeysBeyondLoopback(settings, keyFile.keys());
        replica.addListener(membershipMonitor);
        sharedState = new SharedStateService(log, identifier, replica, timers, timeline);
        membership = new EntryMembership(
                settings, identifier, replica, sharedState.appender(), log, keyFile::keys, timers, timeline);
        sharedState.connectPeers(membership.channel());
        planningService = new PlanningService(
                identifier,
                replica::state,
                new PlanningService.PlatformPorts(platform, platform),
                new PlanningService.RequestObservations(this::findBusyHostsByPool, this::isFailing),
                sharedState.appender()::submit,
                timers,
                timeline);
        callerServer = new CallerServer(settings, RequestLimits.DEFAULT, createRequestPorts());
        operatorGate = new OperatorAuthenticator(keyFile::keys, System::currentTimeMillis);
        administrationServer = new AdministrationServer(settings, operatorGate);
        membership.addPlacementControl(callerServer.placements());
        jobService = new JobService(
                identifier,
                replica,
                new HttpTaskPlatform(settings.platformAddress()),
                sharedState.appender()::submit,
                timeline,
                timers);
        membership.addPlacementControl(jobService);
        membership.setMaintenance(platform);
        planningService.addPlacementControl(callerServer.placements());
        planningService.addPlacementControl(jobService);
        callerServer.addContext(JobRoutes.JOBS_PATH, jobService.routes());
        jobService.routes().addTo(administrationServer);
        addRoutes();
        keyFile.start(timers);
        membership.start();
        sharedState.start();
        planningService.start();
        administrationServer.start();
        timers.every(READY_CHECK_PERIOD, this::reportReady);
        timeline.emit(EventKind.PROCESS_STARTED, Optional.empty(), EventDetail.of("zone", settings.zone()));
    }

    /** Returns the identifier of the process. */
    public ProcessIdentifier identifier() {
        return identifier;
    }

    /** Returns the address that callers connect to. */
    public NetworkAddress callerAddress() {
        return callerServer.address();
    }

    /** Returns the address that operators connect to. */
    public NetworkAddress administrationAddress() {
        return administrationServer.address();
    }

    /** Returns the latest shared state that this process has applied. */
    public SharedState state() {
        return replica.state();
    }

    /** Returns whether the process accepts requests. */
    public boolean isReady() {
        return !stopping && membership.canServe() && sharedState.isReady() && callerServer.isReady();
    }

    /**
     * Stops gracefully: reports that it is not ready, continues to serve for the load balancer's delay, then waits
     * until no request is in flight. Returns the number of requests still in flight when the shutdown limit expired.
     */
    public int stopGracefully() {
        stopping = true;
        timeline.emit(EventKind.PROCESS_STOPPING, Optional.empty());
        callerServer.closeConnectionsAfterResponses();
        sleep(settings.balancerDelay());
        callerServer.stopAccepting();
        long deadline = System.nanoTime() + settings.shutdownLimit().toNanos();
        while ((countRequestsInFlight() > 0 || !callerServer.hasNoLoans()) && System.nanoTime() < deadline) {
            sleep(SHUTDOWN_POLL_PERIOD);
        }
        int unfinishedRequests = countRequestsInFlight();
        if (unfinishedRequests == 0) {
            callerServer.announceIdle();
        }
        callerServer.close();
        membership.leave();
        timeline.emit(EventKind.PROCESS_STOPPED, Optional.empty(), EventDetail.of("left", unfinishedRequests));
        close();
        return unfinishedRequests;
    }

    @Override
    public void close() {
        callerServer.close();
        planningService.close();
        jobService.close();
        membership.close();
        keyFile.close();
        sharedState.close();
        administrationServer.close();
        timers.close();
    }

    /** Emits an event when the process becomes ready. Called by the timer thread only. */
    private void reportReady() {
        boolean ready = isReady();
        if (ready && !reportedReady) {
            timeline.emit(EventKind.PROCESS_READY, Optional.empty());
        }
        reportedReady = ready;
    }

    private int countRequestsInFlight() {
        return callerServer.inFlight() + jobService.routes().inFlight();
    }

    /** Excludes leaving hosts as soon as the platform announces them, even while nothing can be appended to the log. */
    private boolean mayPlace(HostState host) {
        return !planningService.leavingHosts().contains(host.name())
                && membership.placementView().mayPlace(host);
    }

    private Map<PoolName, Double> findBusyHostsByPool() {
        return new PoolUsage(replica::state, callerServer.placements(), callerServer::countWaiting).busyHosts();
    }

    private boolean isFailing(HostName host) {
        return callerServer.isFailing(host);
    }

    private RequestPorts createRequestPorts() {
        return new RequestPorts(
                identifier,
                replica::state,
                this::mayPlace,
                Optional.of(membership.channel()),
                membershipMonitor,
                timers,
                timeline,
                meterRegistry);
    }

    private void addRoutes() {
        Gauge.builder("cicadalead.state.offset", () -> replica.state().offset()).register(meterRegistry);
        Gauge.builder("cicadalead.requests.in.flight", callerServer::inFlight).register(meterRegistry);
        Gauge.builder("cicadalead.administration.refusals", operatorGate::rejectedRequests)
                .register(meterRegistry);
        membership.registerMetrics(meterRegistry);
        membership.addTo(administrationServer);
        new WaveRoutes(replica::state, sharedState.appender(), timers::wallClockMilliseconds)
                .addTo(administrationServer);
        new StateRoutes(replica::state, sharedState.appender()).addTo(administrationServer);
        new ConfigurationRoutes(identifier, replica::state, sharedState::peerChannel).addTo(administrationServer);
        administrationServer.addRoute("GET", "/healthz", exchange -> JsonExchange.respondText(exchange, OK, "ok\n"));
        administrationServer.addRoute("GET", "/readyz", this::sendReadiness);
        administrationServer.addRoute(
                "GET", "/metrics", exchange -> JsonExchange.respondText(exchange, OK, meterRegistry.scrape()));
        administrationServer.addRoute("GET", "/status", exchange -> JsonExchange.respond(exchange, createStatusView()));
        new TimelineRoutes(timeline).addTo(administrationServer);
    }

    private void sendReadiness(HttpExchange exchange) throws IOException {
        boolean ready = isReady();
        JsonExchange.respondText(exchange, ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private StatusView createStatusView() {
        SharedState state = replica.state();
        return new StatusView(
                identifier,
                settings.zone().value(),
                isReady(),
                sharedState.follower().isReachable(),
                state.offset(),
                state.configuration().version(),
                membership.status(),
                callerServer.inFlight());
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * The state of the deployment as one process sees it.
     *
     * @param process the process
     * @param zone the availability zone of the process
     * @param ready whether the process accepts requests
     * @param platformReachable whether the last read from the platform succeeded
     * @param offset offset of the last record that the process has applied
     * @param configurationVersion version of the configuration that the process applies
     * @param membership entry processes that may place work, and the processes that each move waits for
     * @param requestsInFlight number of requests that are still in flight
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
