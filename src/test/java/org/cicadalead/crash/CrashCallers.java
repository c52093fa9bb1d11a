package org.cicadalead.crash;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.model.configuration.NetworkAddress;

/** Callers that send requests through the balancer until stopped, each once, and record the outcomes. */
final class CrashCallers implements AutoCloseable {
    /** The outcome of a request as its caller observed it. */
    enum RequestOutcome {
        ANSWERED,
        WRONG_RESPONSE,
        NOT_RUN,
        UNKNOWN
    }

    private static final int THREADS = 4;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration COMPLETION_TIMEOUT = Duration.ofMinutes(2);
    private static final List<String> SERVICES = List.of("diet-checks", "route-planning", "allergy-checks");

    private final CrashFleet fleet;
    private final Map<String, RequestOutcome> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger sentCount = new AtomicInteger();
    private final AtomicInteger answeredCount = new AtomicInteger();
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();
    private volatile boolean stopped;

    CrashCallers(CrashFleet fleet) {
        this.fleet = fleet;
        for (int thread = 0; thread < THREADS; thread++) {
            threads.execute(this::sendUntilStopped);
        }
    }

    /** Waits until the given number of further requests succeed; fails only after a generous timeout. */
    void awaitMoreResponses(int count) throws InterruptedException {
        int targetCount = answeredCount.get() + count;
        long deadline = System.nanoTime() + COMPLETION_TIMEOUT.toNanos();
        while (answeredCount.get() < targetCount) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("Requests no longer succeed; outcomes so far: " + summarizeOutcomes());
            }
            Polling.pause();
        }
    }

    /** Stops sending, waits for the requests in flight, and returns the outcomes by request. */
    Map<String, RequestOutcome> finish() throws InterruptedException {
        stopped = true;
        threads.shutdown();
        if (!threads.awaitTermination(COMPLETION_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
            throw new AssertionError("Callers still wait for responses");
        }
        return outcomes;
    }

    @Override
    public void close() {
        stopped = true;
        threads.shutdownNow();
    }

    String summarizeOutcomes() {
        Map<RequestOutcome, Integer> counts = new ConcurrentHashMap<>();
        outcomes.values().forEach(outcome -> counts.merge(outcome, 1, Integer::sum));
        return counts.toString();
    }

    private void sendUntilStopped() {
        while (!stopped) {
            int number = sentCount.incrementAndGet();
            List<NetworkAddress> addresses = List.copyOf(fleet.balancedAddresses());
            if (!addresses.isEmpty()) {
                String request = "request-" + number;
                RequestOutcome result = send(addresses.get(number % addresses.size()), request, number);
                outcomes.put(request, result);
                answeredCount.addAndGet(result == RequestOutcome.ANSWERED ? 1 : 0);
            }
        }
    }

    private RequestOutcome send(NetworkAddress address, String name, int number) {
        String path = "/services/" + SERVICES.get(number % SERVICES.size()) + "/check";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header(UpstreamStandIn.REQUEST_HEADER, name)
                .header("Request-Team", "kitchens")
                .timeout(REQUEST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(name))
                .build();
        try {
            return classifyResponse(client.send(request, HttpResponse.BodyHandlers.ofString()), name);
        } catch (ConnectException refused) {
            return RequestOutcome.NOT_RUN;
        } catch (IOException failure) {
            return RequestOutcome.UNKNOWN;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return RequestOutcome.UNKNOWN;
        }
    }

    private static RequestOutcome classifyResponse(HttpResponse<String> response, String name) {
        if (response.statusCode() == 200) {
            boolean isOwnResponse = response.body().equals(name)
                    && response.headers()
                            .firstValue(UpstreamStandIn.RESPONSE_HEADER)
                            .filter(name::equals)
                            .isPresent();
            return isOwnResponse ? RequestOutcome.ANSWERED : RequestOutcome.WRONG_RESPONSE;
        }
        return response.body().contains("\"not-run\"") ? RequestOutcome.NOT_RUN : RequestOutcome.UNKNOWN;
    }
}
