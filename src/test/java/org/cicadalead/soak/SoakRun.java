package org.cicadalead.soak;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.platform.LoopbackStore;
import org.cicadalead.platform.LoopbackWorker;

/**
 * A run of entry processes on a loopback network of its own, with a store, hosts, callers and a seeded series of
 * faults. Its callers and faults use several threads; its own methods are for one thread unless they say otherwise.
 */
final class SoakRun implements AutoCloseable {
    private static final int HOSTS = 6;
    private static final int HOST_MILLICORES = 64_000;
    private static final int HOST_MEGABYTES = 256_000;
    private static final int CALLERS = 24;
    private static final int ASKING_CALLERS = 8;
    private static final int NETWORKS = 250;
    private static final int STORE_NUMBER = 200;
    private static final int FIRST_HOST_NUMBER = 100;
    private static final int FIRST_PROCESS_NUMBER = 11;
    private static final int STORE_ANSWER_MILLISECONDS = 4;
    private static final int HEARTBEAT_MILLISECONDS = 1_500;
    private static final int MIN_ROUND_MILLISECONDS = 4_000;
    private static final int MIN_OVERLAPPING_ROUND_MILLISECONDS = 500;
    private static final int MAX_ROUND_MILLISECONDS = 9_000;
    private static final int POLL_MILLISECONDS = 20;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);

    /** Time after the last fault and the last request in which every accepted job has to be shown as completed. */
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(30);

    private static final int MAX_NAMED_JOBS = 5;
    private static final int OK = 200;
    private static final String COMPLETED = "\"completed\"";

    private final long seed;
    private final Path folder;
    private final Timeline timeline;
    private final Random random;
    private final String network;
    private final LoopbackStore store = new LoopbackStore();
    private final RunJournal journal = new RunJournal();
    private final JobRecords jobs = new JobRecords();
    private final RequestRecords requests;
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<TcpProxy> storeProxies = new ArrayList<>();
    private final List<SoakProcess> processes = new ArrayList<>();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final ExecutorService callerThreads = Executors.newCachedThreadPool();
    private long configurationVersion = 1;

    /**
     * The result of a run. Immutable.
     *
     * @param summary what was done, in one line
     * @param violations the promises that were broken
     * @param cutEarly requests whose connection ended without an answer soon after they were sent
     */
    record Report(String summary, List<String> violations, List<String> cutEarly) {}

    SoakRun(long seed, int processCount, Path folder) throws IOException {
        HttpServers.configureProcess();
        this.seed = seed;
        this.folder = Files.createDirectories(folder);
        this.timeline = new Timeline(folder.resolve("timeline.log"));
        this.random = new Random(seed);
        this.network = findNetwork();
        this.requests = new RequestRecords(timeline, Files.newBufferedWriter(folder.resolve("requests.log")));
        store.setAnswerDelay(Duration.ofMillis(STORE_ANSWER_MILLISECONDS));
        store.putConfiguration(configurationVersion, "");
        InetSocketAddress storeAddress = serve(STORE_NUMBER, store::handle);
        for (int number = 0; number < HOSTS; number++) {
            addHost(number);
        }
        for (int number = 0; number < processCount; number++) {
            TcpProxy proxy = new TcpProxy(network + STORE_NUMBER, storeAddress);
            storeProxies.add(proxy);
            processes.add(new SoakProcess(
                    "process-" + number,
                    network + (FIRST_PROCESS_NUMBER + number),
                    proxy.address(),
                    folder,
                    timeline,
                    timers));
        }
    }

    /** Returns a loopback network on which the ports of the processes are free. */
    private String findNetwork() throws IOException {
        for (int number = 0; number < NETWORKS; number++) {
            String candidate = "127." + (1 + random.nextInt(NETWORKS)) + ".0.";
            try (ServerSocket first = new ServerSocket();
                    ServerSocket second = new ServerSocket()) {
                first.bind(new InetSocketAddress(candidate + FIRST_PROCESS_NUMBER, SoakProcess.FRONTEND_PORT));
                second.bind(new InetSocketAddress(candidate + FIRST_PROCESS_NUMBER, SoakProcess.METRICS_PORT));
                return candidate;
            } catch (IOException inUse) {
                timeline.record("network " + candidate + "0 is in use");
            }
        }
        throw new IOException("no loopback network is free");
    }

    private InetSocketAddress serve(int number, HttpHandler handler) {
        HttpServer server = HttpServers.bind(network + number, 0);
        server.setExecutor(HttpServers.createDaemonExecutor("soak"));
        server.createContext("/", handler);
        server.start();
        servers.add(server);
        return server.getAddress();
    }

    private void addHost(int number) {
        LoopbackWorker host = new LoopbackWorker("host-" + number, HOST_MILLICORES, HOST_MEGABYTES, journal);
        InetSocketAddress served = serve(FIRST_HOST_NUMBER + number, host::handle);
        String address = served.getAddress().getHostAddress() + ":" + served.getPort();
        timers.scheduleAtFixedRate(
                () -> store.putWorker(host, address), 0, HEARTBEAT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    Timeline timeline() {
        return timeline;
    }

    /** Waits between two faults; safe for use by several threads. */
    void pause(long milliseconds) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(milliseconds));
    }

    /** Returns a running process that leads, or one that doesn't; any running process if there is no such one. */
    Optional<SoakProcess> pickRunning(Random choice, boolean isLeader) {
        String leader = store.newestLeaderRecord();
        List<SoakProcess> running =
                processes.stream().filter(SoakProcess::isRunning).toList();
        List<SoakProcess> wanted = running.stream()
                .filter(process -> leader.contains(process.peerAddress()) == isLeader)
                .toList();
        List<SoakProcess> candidates = wanted.isEmpty() ? running : wanted;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(choice.nextInt(candidates.size())));
    }

    /** Returns the proxy between the store and a process. */
    TcpProxy storeProxyOf(SoakProcess process) {
        return storeProxies.get(processes.indexOf(process));
    }

    /** Makes the store slower by a factor for a time. */
    void slowStore(int factor, long milliseconds) {
        timeline.record("the store is " + factor + " times slower");
        store.setAnswerDelay(Duration.ofMillis((long) STORE_ANSWER_MILLISECONDS * factor));
        timers.schedule(
                () -> {
                    store.setAnswerDelay(Duration.ofMillis(STORE_ANSWER_MILLISECONDS));
                    timeline.record("the store is as fast as before");
                },
                milliseconds,
                TimeUnit.MILLISECONDS);
    }

    /** Puts the next version of the configuration. */
    void putConfiguration() {
        configurationVersion++;
        timeline.record("configuration " + configurationVersion);
        store.putConfiguration(configurationVersion, "");
    }

    /** Plays the run and returns what was seen. */
    Report play(Duration duration, boolean isPlannedOnly) throws InterruptedException, ExecutionException, IOException {
        awaitReady();
        List<SoakCaller> callers = new ArrayList<>();
        List<Future<?>> running = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            callers.add(new SoakCaller(random.nextLong(), processes, jobs, requests));
        }
        callers.forEach(caller -> running.add(callerThreads.submit(caller)));
        long end = System.nanoTime() + duration.toNanos();
        List<SoakFault> faults = SoakFault.select(isPlannedOnly);
        int rounds = 0;
        while (System.nanoTime() - end < 0) {
            int minimum = isPlannedOnly ? MIN_ROUND_MILLISECONDS : MIN_OVERLAPPING_ROUND_MILLISECONDS;
            pause((long) minimum + random.nextInt(MAX_ROUND_MILLISECONDS - MIN_ROUND_MILLISECONDS));
            SoakFault fault = faults.get(random.nextInt(faults.size()));
            timeline.record("round " + rounds + ": " + fault);
            inject(fault);
            rounds++;
        }
        pause(MAX_ROUND_MILLISECONDS);
        callers.forEach(SoakCaller::finish);
        for (Future<?> caller : running) {
            caller.get();
        }
        requests.flush();
        awaitReady();
        return createReport(rounds);
    }

    /** Injects a fault; an unplanned one overlaps with the following rounds. */
    private void inject(SoakFault fault) {
        if (fault.isPlanned()) {
            fault.inject(this, random);
        } else {
            Random ownRandom = new Random(random.nextLong());
            callerThreads.execute(() -> fault.inject(this, ownRandom));
        }
    }

    /** Waits until every process answers a count. */
    private void awaitReady() throws InterruptedException {
        RequestRecords ignored = new RequestRecords(timeline, Writer.nullWriter());
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        for (SoakProcess process : processes) {
            SoakCaller caller = new SoakCaller(seed, List.of(process), jobs, ignored);
            while (!caller.send("GET", "", "")
                    .map(answer -> answer.status() == OK)
                    .orElse(false)) {
                if (System.nanoTime() - deadline > 0) {
                    throw new AssertionError(process.name() + " is not ready; logs in " + folder);
                }
                pause(POLL_MILLISECONDS);
            }
        }
        timeline.record("all processes answer");
    }

    private Report createReport(int rounds) throws InterruptedException, ExecutionException {
        List<String> violations = new ArrayList<>(requests.findLost());
        List<String> owed = jobs.owed();
        Map<String, String> unfinished = askForAll(owed);
        unfinished.entrySet().stream()
                .limit(MAX_NAMED_JOBS)
                .forEach(job -> violations.add("not completed: job " + job.getKey() + " is shown as " + job.getValue()
                        + " (one of " + unfinished.size() + ")"));
        Set<String> started = journal.startedJobs();
        jobs.rejected().stream()
                .filter(started::contains)
                .forEach(job -> violations.add("rejected job has run: " + job));
        violations.addAll(journal.findOverlaps());
        processes.forEach(process -> violations.addAll(process.violations()));
        String summary = "seed " + seed + ", rounds " + rounds + ", " + requests.summary() + ", accepted jobs "
                + owed.size() + " of which completed " + (owed.size() - unfinished.size()) + ", rejected jobs "
                + jobs.rejected().size() + ", runs " + journal.runCount();
        Report report = new Report(summary, violations, requests.findCutEarly());
        timeline.record(summary);
        violations.forEach(violation -> timeline.record("violation: " + violation));
        report.cutEarly().forEach(request -> timeline.record("cut early: " + request));
        return report;
    }

    /** Asks for the jobs until each is completed; returns the last answers to those that aren't in time. */
    private Map<String, String> askForAll(List<String> owed) throws InterruptedException, ExecutionException {
        List<Future<Map<String, String>>> parts = new ArrayList<>();
        for (int part = 0; part < ASKING_CALLERS; part++) {
            int first = part;
            SoakCaller caller = new SoakCaller(
                    random.nextLong(), processes, jobs, new RequestRecords(timeline, Writer.nullWriter()));
            parts.add(callerThreads.submit(() -> askFor(caller, owed, first)));
        }
        Map<String, String> unfinished = new TreeMap<>();
        for (Future<Map<String, String>> part : parts) {
            unfinished.putAll(part.get());
        }
        return unfinished;
    }

    private Map<String, String> askFor(SoakCaller caller, List<String> owed, int first) {
        Map<String, String> unfinished = new TreeMap<>();
        long deadline = System.nanoTime() + COMPLETION_TIMEOUT.toNanos();
        for (int index = first; index < owed.size(); index += ASKING_CALLERS) {
            String state = "";
            while (!state.contains(COMPLETED) && (state.isEmpty() || System.nanoTime() - deadline < 0)) {
                state = caller.send("GET", owed.get(index), "")
                        .map(answer -> answer.status() + " " + answer.body())
                        .orElse("no connection");
            }
            if (!state.contains(COMPLETED)) {
                unfinished.put(owed.get(index), state);
            }
        }
        return unfinished;
    }

    @Override
    public void close() throws IOException {
        processes.forEach(SoakProcess::close);
        for (TcpProxy proxy : storeProxies) {
            proxy.close();
        }
        timers.shutdownNow();
        callerThreads.shutdownNow();
        servers.forEach(server -> server.stop(0));
    }
}
