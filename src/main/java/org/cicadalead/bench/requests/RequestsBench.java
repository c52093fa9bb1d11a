package org.cicadalead.bench.requests;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;
import org.cicadalead.adapters.event.TimelineRecorder;
import org.cicadalead.adapters.request.CallerServer;
import org.cicadalead.adapters.request.MembershipMonitor;
import org.cicadalead.adapters.request.RequestPorts;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.logic.request.RoutingIndex;
import org.cicadalead.logic.request.ServiceRoute;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.request.RequestLimits;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.SharedState;

/** Measures the request path with a limited load over loopback. Stateless. */
public final class RequestsBench {
    private static final int CALLERS = 8;
    private static final int WORKERS = 9;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int DECISIONS = 200_000;
    private static final int INDEX_ITERATIONS = 20;
    private static final long SEED = 4711;
    private static final BindAddress ANY_PORT = new BindAddress("127.0.0.1", 0);

    private RequestsBench() {}

    /** Runs all measurements. Each loopback measurement runs twice for the given time, the first time as a warm-up. */
    public static RequestsReport run(Duration duration) {
        List<LimitResult> limits = new ArrayList<>();
        for (int processes = 6; processes <= 8; processes += 2) {
            for (int workers = 6; workers <= 9; workers += 3) {
                for (LimitStrategy strategy : LimitStrategy.values()) {
                    limits.add(new LimitSimulation(strategy, processes, workers, SEED).run());
                }
            }
        }
        SyntheticFleet today = new SyntheticFleet(3, 6, 46, 5, TIMEOUT, 1_000);
        SyntheticFleet target = new SyntheticFleet(5, 86, 1_400, 610, TIMEOUT, 1_000);
        return new RequestsReport(
                measureLoopback(duration),
                measureDecisions("today", today),
                measureDecisions("target", target),
                limits);
    }

    private static RequestsReport.Loopback measureLoopback(Duration duration) {
        List<UpstreamStandIn> workers = new ArrayList<>();
        for (int number = 0; number < WORKERS; number++) {
            workers.add(new UpstreamStandIn("127.0.0.1", 0, Duration.ZERO));
        }
        List<NetworkAddress> addresses =
                workers.stream().map(UpstreamStandIn::address).toList();
        SharedState state = new SyntheticFleet(1, 1, WORKERS, 1, TIMEOUT, 1_000).state(addresses);
        SystemTimerService timers = new SystemTimerService(failure -> {});
        ProcessIdentifier process = new ProcessIdentifier("bench");
        TimelineRecorder events =
                new TimelineRecorder(process, SyntheticFleet.zone(0), () -> 1, System::currentTimeMillis);
        RequestPorts ports = new RequestPorts(
                process,
                () -> state,
                RequestPorts.createView(() -> state),
                Optional.empty(),
                new MembershipMonitor(process),
                timers,
                events,
                new SimpleMeterRegistry());
        EntrySettings settings = new EntrySettings(
                SyntheticFleet.zone(0),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                new NetworkAddress("127.0.0.1", 1),
                List.of(),
                Duration.ZERO,
                Duration.ofSeconds(1),
                Optional.empty());
        try (timers;
                CallerServer server = new CallerServer(settings, RequestLimits.DEFAULT, ports)) {
            measureLatencies(addresses, duration);
            measureLatencies(List.of(server.address()), duration);
            Histogram direct = measureLatencies(addresses, duration);
            Histogram through = measureLatencies(List.of(server.address()), duration);
            return RequestsReport.Loopback.of(direct, through, duration);
        } finally {
            workers.forEach(UpstreamStandIn::close);
        }
    }

    /** Runs callers that each send one request after the other; returns the latencies in microseconds. */
    private static Histogram measureLatencies(List<NetworkAddress> addresses, Duration duration) {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        HttpClient client = HttpClient.newHttpClient();
        List<Future<Histogram>> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            NetworkAddress address = addresses.get(caller % addresses.size());
            callers.add(threads.submit(() -> sendRequests(client, address, duration)));
        }
        Histogram latencies = new Histogram(3);
        try {
            for (Future<Histogram> caller : callers) {
                latencies.add(caller.get());
            }
        } catch (InterruptedException | ExecutionException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The load could not be sent", failure);
        } finally {
            threads.shutdownNow();
        }
        return latencies;
    }

    private static Histogram sendRequests(HttpClient client, NetworkAddress address, Duration duration)
            throws Exception {
        Histogram latencies = new Histogram(3);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/services/service-0/work"))
                .PUT(HttpRequest.BodyPublishers.ofString("a short body"))
                .build();
        long endNanoseconds = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < endNanoseconds) {
            long startNanoseconds = System.nanoTime();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) {
                throw new CicadaleadException(ErrorKind.INTERNAL, "A request was refused: " + response.body());
            }
            latencies.recordValue(
                    Duration.ofNanos(System.nanoTime() - startNanoseconds).toNanos() / 1_000);
        }
        return latencies;
    }

    private static RequestsReport.Decisions measureDecisions(String size, SyntheticFleet fleet) {
        SharedState state = fleet.state();
        Map<HostName, HostRuntime> runtimes = new HashMap<>();
        RoutingIndex index = createIndex(state, runtimes);
        runtimes.values().forEach(runtime -> runtime.slots().setOwned(HostDefinition.DEFAULT_SLOTS));
        long indexStart = System.nanoTime();
        for (int iteration = 0; iteration < INDEX_ITERATIONS; iteration++) {
            index = createIndex(state, runtimes);
        }
        long indexNanoseconds = (System.nanoTime() - indexStart) / INDEX_ITERATIONS;
        makeDecisions(index, fleet.pools());
        long decisionStart = System.nanoTime();
        makeDecisions(index, fleet.pools());
        long decisionNanoseconds = (System.nanoTime() - decisionStart) / DECISIONS;
        return new RequestsReport.Decisions(
                size, fleet.hosts(), fleet.pools(), decisionNanoseconds, indexNanoseconds / 1_000);
    }

    private static RoutingIndex createIndex(SharedState state, Map<HostName, HostRuntime> runtimes) {
        return RoutingIndex.of(state, SyntheticFleet.zone(0), host -> runtimes.computeIfAbsent(host, HostRuntime::new));
    }

    private static void makeDecisions(RoutingIndex index, int services) {
        for (int decision = 0; decision < DECISIONS; decision++) {
            ServiceRoute route =
                    index.findRoute(SyntheticFleet.service(decision % services)).orElseThrow();
            HostRoute host = route.tryAcquireHost(decision, System.nanoTime()).orElseThrow();
            host.runtime().slots().release();
        }
    }
}
