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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.adapters.work.DecisionLog;
import org.cicadalead.adapters.work.JobRequestService;
import org.cicadalead.adapters.work.LeaderElection;
import org.cicadalead.adapters.work.MonitoredStore;
import org.cicadalead.adapters.work.OperatorFeed;
import org.cicadalead.adapters.work.PeerClient;
import org.cicadalead.adapters.work.PeerServer;
import org.cicadalead.adapters.work.SchedulingPorts;
import org.cicadalead.adapters.work.SchedulingService;
import org.cicadalead.adapters.work.WorkCodec;
import org.cicadalead.adapters.work.WorkMetrics;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/**
 * A process on the users' platform: takes jobs, and schedules while it holds the term. Safe for use by several threads.
 */
public final class PlatformEntry {
    /** Share of the longest lease that is used: the rest covers the difference of clocks and the way of an order. */
    private static final double LEASE_SHARE = 0.95;

    /** Longest time for which a leader starts work without a confirmed heartbeat: beyond the time to take over. */
    private static final long START_LIMIT_MILLISECONDS = 2_500;

    /** Longest time for which a leader renews leases without a confirmed heartbeat; leases outlast it. */
    private static final long UNCONFIRMED_LIMIT_MILLISECONDS = 6_000;

    /** Processors of a host above which it takes part in elections without letting others go first. */
    private static final double LARGE_HOST_CORES = 0.7;

    /** How long a small host lets larger ones go first. */
    private static final long SMALL_HOST_HESITATION_MILLISECONDS = 400;

    /** Connections stay open this long after the signal to end, so that the platform notices and callers move on. */
    private static final Duration DRAIN = Duration.ofMillis(2_600);

    /** Part of the grace that is left unused. */
    private static final long GRACE_RESERVE_MILLISECONDS = 800;

    private static final long POLL_MILLISECONDS = 25;
    private static final Duration CONNECT_LIMIT = Duration.ofMillis(600);
    private static final int CLIENT_THREADS = 2;

    private final PlatformSettings settings;
    private final DecisionLog log;
    private final SystemTimerService timers;
    private final OperatorFeed operator;
    private final SchedulingService scheduling;
    private final LeaderElection election;
    private final PeerServer peerServer;
    private final JobRequestService desk;
    private final JobServer jobServer;
    private final ReadinessServer readinessServer;
    private final Optional<MetricsServer> metricsServer;
    private volatile boolean stopping;

    /**
     * Starts a process that writes its log to standard output.
     *
     * @param metricsPort where counters and latencies are served; empty for nowhere
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
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_LIMIT)
                .executor(Executors.newFixedThreadPool(CLIENT_THREADS, PlatformEntry::clientThread))
                .build();
        HttpCalls calls = new HttpCalls(client);
        MonitoredStore store = new MonitoredStore(new StoreClient(calls, settings.storeAddress()), timers, metrics);
        WorkCodec codec =
                new WorkCodec(problem -> log.emit(EventKind.RECORD_UNREADABLE, EventDetail.of("problem", problem)));
        PlatformRecords records = new PlatformRecords();
        this.operator = new OperatorFeed(store, timers, records, log);
        String peerAddress = settings.ip() + ":" + settings.internalPort();
        SchedulingPorts ports = new SchedulingPorts(
                store,
                new HostClient(calls),
                new MachineClient(calls, settings.machinesAddress(), settings.nodeName()),
                new AdvisorClient(calls, settings.advisorAddress()),
                records,
                operator,
                timers,
                codec,
                log,
                this::unconfirmedMilliseconds,
                this::superseded,
                this::stateSoon);
        this.scheduling = new SchedulingService(ports, terms(settings));
        this.election = new LeaderElection(store, codec, timers, log, candidate(settings, peerAddress), scheduling);
        PeerClient peers = new PeerClient(client, codec, peerAddress, timers);
        this.desk = new JobRequestService(store, timers, codec, scheduling, peers, election, log);
        ExecutorService serverThreads = HttpServers.createDaemonExecutor("server");
        this.peerServer =
                new PeerServer(settings.ip(), settings.internalPort(), serverThreads, codec, scheduling, desk, log);
        this.jobServer = new JobServer(settings.frontendAddress(), serverThreads, desk, operator, timers, log, metrics);
        this.readinessServer = new ReadinessServer(settings.readyAddress(), serverThreads, this::isReady);
        this.metricsServer = metricsPort.isPresent()
                ? Optional.of(new MetricsServer(
                        new PlatformSettings.SocketAddress(settings.ip(), metricsPort.getAsInt()),
                        serverThreads,
                        registry::scrape))
                : Optional.empty();
        operator.start();
        election.start();
    }

    private static SchedulingTerms terms(PlatformSettings settings) {
        return new SchedulingTerms(
                Math.round(settings.holdMaximumMilliseconds() * LEASE_SHARE),
                START_LIMIT_MILLISECONDS,
                UNCONFIRMED_LIMIT_MILLISECONDS,
                settings.stopTimeoutMilliseconds(),
                settings.maintenanceMilliseconds(),
                settings.remoteFactor());
    }

    private static LeaderElection.Candidate candidate(PlatformSettings settings, String peerAddress) {
        String process = settings.nodeName() + "#"
                + Long.toHexString(ThreadLocalRandom.current().nextLong());
        return new LeaderElection.Candidate(
                process, peerAddress, settings.cpuShare() >= LARGE_HOST_CORES ? 0 : SMALL_HOST_HESITATION_MILLISECONDS);
    }

    private long unconfirmedMilliseconds() {
        return election.unconfirmedMilliseconds();
    }

    private void superseded() {
        election.onSuperseded();
    }

    private void stateSoon() {
        election.requestHeartbeat();
    }

    private boolean isReady() {
        return !stopping && operator.plan().isPresent() && desk.canStore();
    }

    /** Reads the settings again; what a running process cannot take over is said in the log. */
    public void settingsChanged(Path file) {
        try {
            PlatformSettings read = PlatformSettings.read(file);
            log.emit(
                    EventKind.SETTINGS_READ_AGAIN,
                    EventDetail.of("changed", !read.equals(settings)),
                    EventDetail.of("inForce", "at the next start"));
        } catch (CicadaleadException invalid) {
            log.emit(EventKind.SETTINGS_READ_AGAIN, EventDetail.of("problem", invalid.getMessage()));
        }
    }

    /**
     * Ends the process's part in everything, answers what was taken, and returns when nothing is left or time is up.
     */
    public void stopGracefully() {
        stopping = true;
        log.emit(EventKind.PROCESS_STOPPING, EventDetail.of("inFlight", jobServer.inFlight()));
        jobServer.beginStopping();
        election.close();
        long start = System.nanoTime();
        long limit = Duration.ofMillis(settings.graceMilliseconds() - GRACE_RESERVE_MILLISECONDS)
                .toNanos();
        try {
            while (System.nanoTime() - start < DRAIN.toNanos()
                    || (jobServer.inFlight() > 0 && System.nanoTime() - start < limit)) {
                Thread.sleep(POLL_MILLISECONDS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        jobServer.close();
        peerServer.close();
        readinessServer.close();
        metricsServer.ifPresent(MetricsServer::close);
        operator.close();
        scheduling.close();
        log.emit(EventKind.PROCESS_STOPPED, EventDetail.of("inFlight", jobServer.inFlight()));
        log.close();
    }

    private static Thread clientThread(Runnable runnable) {
        Thread thread = new Thread(runnable, "client");
        thread.setDaemon(true);
        return thread;
    }
}
