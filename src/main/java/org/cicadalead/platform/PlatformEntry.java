package org.cicadalead.platform;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.http.PlaintextHttpClients;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.adapters.work.ConfigurationExchange;
import org.cicadalead.adapters.work.DecisionLog;
import org.cicadalead.adapters.work.JobRequestService;
import org.cicadalead.adapters.work.LeaderElection;
import org.cicadalead.adapters.work.MonitoredStore;
import org.cicadalead.adapters.work.OperatorFeed;
import org.cicadalead.adapters.work.PeerClient;
import org.cicadalead.adapters.work.PeerServer;
import org.cicadalead.adapters.work.RequestTimeLimits;
import org.cicadalead.adapters.work.SchedulingPorts;
import org.cicadalead.adapters.work.SchedulingService;
import org.cicadalead.adapters.work.WorkCodec;
import org.cicadalead.adapters.work.WorkMetrics;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.StopSchedule;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.LeaderHead;
import org.cicadalead.ports.RecordStore;

/**
 * An entry process on the users' platform: accepts jobs, and schedules them while it is the leader. Safe for use by
 * several threads.
 */
public final class PlatformEntry {
    /**
     * Share of the maximum lease that is used (a ratio): the rest covers differences between clocks and the latency of
     * an order.
     */
    private static final double LEASE_SHARE = 0.95;

    /** Maximum time for which a leader starts runs without a confirmed heartbeat: longer than a takeover takes. */
    private static final long MAX_UNCONFIRMED_START_MILLISECONDS = 2_500;

    /**
     * Time by which every lease has expired after the last confirmed heartbeat of the leader, and after the last reply
     * of the host. A lasting task has to run again 7 s after the last disruption; the rest is for the start after it.
     */
    private static final long LEASE_HORIZON_MILLISECONDS = 6_000;

    /** Minimum number of processor cores with which a host takes part in elections without delay. */
    private static final double MIN_LARGE_HOST_CORES = 0.7;

    /** Delay before a small host claims leadership in an election, so that larger hosts can claim it first. */
    private static final long SMALL_HOST_ELECTION_DELAY_MILLISECONDS = 400;

    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
    private static final int CLIENT_THREADS = 2;

    /** Monotonic time at which this process has started; its previous incarnation had ended by then. */
    private final long startedAtNanoseconds = System.nanoTime();

    private final PlatformSettings settings;
    private final DecisionLog log;
    private final SystemTimerService timers;
    private final OperatorFeed operatorFeed;
    private final SchedulingService schedulingService;
    private final LeaderElection election;
    private final ConfigurationExchange configurations;
    private final PeerServer peerServer;
    private final JobRequestService jobService;
    private final RequestTimeLimits timeLimits;
    private final JobServer jobServer;
    private final ReadinessServer readinessServer;
    private final Optional<MetricsServer> metricsServer;
    private volatile boolean stopping;
    /** Monotonic time at which the current step of the stop began; used by the thread that stops the process. */
    private long stopStepSince;

    /**
     * Starts a process that writes its log to standard output.
     *
     * @param settings the settings of the process
     * @param metricsPort the port that serves metrics; empty to serve none
     */
    public PlatformEntry(PlatformSettings settings, OptionalInt metricsPort) {
        this(settings, new FileOutputStream(FileDescriptor.out), metricsPort);
    }

    /** Starts a process that writes its log to a stream. */
    PlatformEntry(PlatformSettings settings, OutputStream logOutput, OptionalInt metricsPort) {
        HttpServers.configureProcess();
        this.settings = settings;
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        WorkMetrics metrics = new WorkMetrics(registry);
        this.log = new DecisionLog(logOutput, settings.nodeName(), metrics);
        log.emit(EventKind.PROCESS_STARTED, EventDetail.of("zone", settings.zone()));
        this.timers = new SystemTimerService(
                failure -> log.emit(EventKind.INTERNAL_FAILURE, EventDetail.of("failure", failure.toString())));
        HttpClient httpClient = PlaintextHttpClients.newBuilder()
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(Executors.newFixedThreadPool(CLIENT_THREADS, PlatformEntry::createClientThread))
                .build();
        PlatformHttpClient platformClient = new PlatformHttpClient(httpClient);
        MonitoredStore store =
                new MonitoredStore(new StoreClient(platformClient, settings.storeAddress()), timers, metrics);
        WorkCodec codec =
                new WorkCodec(problem -> log.emit(EventKind.RECORD_UNREADABLE, EventDetail.of("problem", problem)));
        PlatformRecordCodec recordCodec = new PlatformRecordCodec();
        this.operatorFeed = createOperatorFeed(store, recordCodec);
        String peerAddress = settings.ip() + ":" + settings.internalPort();
        SchedulingPorts ports = new SchedulingPorts(
                store,
                new HostClient(platformClient),
                new MachineClient(
                        platformClient,
                        settings.machineServiceAddress(),
                        settings.nodeName(),
                        settings.machineOrdersPerSecond()),
                new AdvisorClient(platformClient, settings.advisorAddress()),
                recordCodec,
                operatorFeed,
                timers,
                codec,
                log,
                this::millisecondsSinceConfirmedHeartbeat,
                this::onSuperseded,
                this::requestHeartbeat);
        this.schedulingService = new SchedulingService(ports, createSchedulingTerms(settings));
        this.election = new LeaderElection(store, codec, timers, log, createCandidate(peerAddress), schedulingService);
        PeerClient peerClient = new PeerClient(httpClient, codec, peerAddress, timers);
        this.timeLimits = new RequestTimeLimits(timers);
        this.jobService =
                new JobRequestService(store, timers, timeLimits, codec, schedulingService, peerClient, election, log);
        ExecutorService serverThreads = HttpServers.createDaemonExecutor("server");
        this.configurations = new ConfigurationExchange(
                operatorFeed, peerClient, () -> election.leader().map(LeaderHead::address), timers, log);
        this.peerServer = new PeerServer(
                settings.ip(),
                settings.internalPort(),
                serverThreads,
                codec,
                schedulingService,
                jobService,
                configurations,
                log);
        this.jobServer = new JobServer(
                settings.frontendAddress(), serverThreads, jobService, operatorFeed, timers, log, metrics);
        this.readinessServer = new ReadinessServer(settings.readyAddress(), serverThreads, this::isReady);
        this.metricsServer = metricsPort.isPresent()
                ? Optional.of(new MetricsServer(
                        new PlatformSettings.SocketAddress(settings.ip(), metricsPort.getAsInt()),
                        serverThreads,
                        registry::scrape))
                : Optional.empty();
        operatorFeed.start();
        configurations.start();
        election.start();
    }

    private OperatorFeed createOperatorFeed(RecordStore store, OperatorFeed.Decoder decoder) {
        return new OperatorFeed(
                store,
                timers,
                decoder,
                log,
                settings.configurationApplyMilliseconds(),
                settings.configurationStretchMilliseconds());
    }

    private static SchedulingTerms createSchedulingTerms(PlatformSettings settings) {
        return new SchedulingTerms(
                Math.round(settings.maximumLeaseMilliseconds() * LEASE_SHARE),
                settings.maximumLeaseMilliseconds(),
                MAX_UNCONFIRMED_START_MILLISECONDS,
                LEASE_HORIZON_MILLISECONDS,
                settings.stopTimeoutMilliseconds(),
                settings.maintenanceMilliseconds(),
                settings.remoteFactor(),
                settings.entitlementWindowMilliseconds());
    }

    private LeaderElection.Candidate createCandidate(String peerAddress) {
        String process = settings.nodeName() + "#"
                + Long.toHexString(ThreadLocalRandom.current().nextLong());
        return new LeaderElection.Candidate(
                process,
                peerAddress,
                settings.cpuShare() >= MIN_LARGE_HOST_CORES ? 0 : SMALL_HOST_ELECTION_DELAY_MILLISECONDS,
                TimeUnit.NANOSECONDS.toMillis(startedAtNanoseconds));
    }

    private long millisecondsSinceConfirmedHeartbeat() {
        return election.unconfirmedMilliseconds();
    }

    private void onSuperseded() {
        election.onSuperseded();
    }

    private void requestHeartbeat() {
        election.requestHeartbeat();
    }

    private boolean isReady() {
        return !stopping && operatorFeed.plan().isPresent() && jobService.canStore();
    }

    /** Returns the number of callers' requests that have no response yet. */
    int inFlightRequests() {
        return jobServer.inFlightRequests();
    }

    /** Reads the settings again and logs whether they changed; changes take effect at the next start. */
    public void onSettingsChanged(Path file) {
        try {
            PlatformSettings newSettings = PlatformSettings.read(file);
            log.emit(
                    EventKind.SETTINGS_READ_AGAIN,
                    EventDetail.of("changed", !newSettings.equals(settings)),
                    EventDetail.of("inForce", "at the next start"));
        } catch (CicadaleadException invalid) {
            log.emit(EventKind.SETTINGS_READ_AGAIN, EventDetail.of("problem", invalid.getMessage()));
        }
    }

    /**
     * Gives the term up if this process is the leader, drains, answers what still waits when the drain ends, and then
     * closes everything. Takes no longer than the grace period; see {@link StopSchedule}.
     */
    public void stopGracefully() {
        stopping = true;
        long stoppingSince = System.nanoTime();
        stopStepSince = stoppingSince;
        log.emit(
                EventKind.PROCESS_STOPPING,
                EventDetail.of("graceMilliseconds", settings.graceMilliseconds()),
                EventDetail.of("leadingEpoch", toText(election.leadingEpoch())),
                EventDetail.of("leader", knownLeader()),
                EventDetail.of("inFlight", jobServer.inFlightRequests()));
        jobServer.startDraining();
        election.resign();
        try {
            drain(stoppingSince);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        onCompleted(StopStep.DRAIN);
        jobServer.close();
        onCompleted(StopStep.CONNECTIONS_CLOSED);
        jobServer.reportUnanswered();
        peerServer.close();
        readinessServer.close();
        metricsServer.ifPresent(MetricsServer::close);
        configurations.close();
        operatorFeed.close();
        schedulingService.close();
        election.close();
        log.emit(
                EventKind.PROCESS_STOPPED,
                EventDetail.of("durationMilliseconds", millisecondsSince(stoppingSince)),
                EventDetail.of("inFlight", jobServer.inFlightRequests()));
        log.close();
    }

    /** Serves requests until none is open and callers can have changed to other processes, or until time is up. */
    private void drain(long stoppingSince) throws InterruptedException {
        StopSchedule schedule = StopSchedule.of(Duration.ofMillis(settings.graceMilliseconds()));
        boolean hasResigned = false;
        while (true) {
            Duration sinceSignal = Duration.ofNanos(System.nanoTime() - stoppingSince);
            if (!hasResigned && election.leadingEpoch().isEmpty()) {
                hasResigned = true;
                onCompleted(StopStep.RESIGNATION);
            }
            if (schedule.isDrainOver(sinceSignal)) {
                jobServer.stopReading();
                timeLimits.expireAll();
            }
            if (schedule.mustClose(sinceSignal)
                    || (schedule.mayCloseWhenIdle(sinceSignal) && jobServer.closeIfIdle())) {
                return;
            }
            Thread.sleep(DRAIN_POLL_INTERVAL.toMillis());
        }
    }

    private void onCompleted(StopStep step) {
        long startedAtNanoseconds = stopStepSince;
        stopStepSince = System.nanoTime();
        log.emit(
                EventKind.STOP_STEP_COMPLETED,
                EventDetail.of("step", step),
                EventDetail.of("durationMilliseconds", millisecondsSince(startedAtNanoseconds)),
                EventDetail.of("leader", knownLeader()),
                EventDetail.of("inFlight", jobServer.inFlightRequests()));
    }

    private String knownLeader() {
        return election.leader().map(LeaderHead::address).orElse("none");
    }

    private static String toText(OptionalLong epoch) {
        return epoch.isPresent() ? Long.toString(epoch.getAsLong()) : "none";
    }

    private static long millisecondsSince(long nanoTime) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoTime);
    }

    /** Steps of a graceful stop, in their order. */
    private enum StopStep {
        /** The process has ended its term, if it led one. */
        RESIGNATION,
        /** No request is in flight, or those that were have had the rest of the grace period. */
        DRAIN,
        /** The callers' connections are closed. */
        CONNECTIONS_CLOSED
    }

    private static Thread createClientThread(Runnable runnable) {
        Thread thread = new Thread(runnable, "client");
        thread.setDaemon(true);
        return thread;
    }
}
