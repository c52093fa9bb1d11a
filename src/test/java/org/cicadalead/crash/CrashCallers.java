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

/** Callers that send without end through the balancer, each request once, and note what they were told. */
final class CrashCallers implements AutoCloseable {
    /** What a caller was told of a request. */
    enum Told {
        ANSWERED,
        WRONG_ANSWER,
        NOT_RUN,
        UNKNOWN
    }

    private static final int THREADS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration PATIENCE = Duration.ofMinutes(2);
    private static final List<String> SERVICES = List.of("diet-checks", "route-planning", "allergy-checks");

    private final CrashFleet fleet;
    private final Map<String, Told> told = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private volatile boolean stopped;

    CrashCallers(CrashFleet fleet) {
        this.fleet = fleet;
        for (int thread = 0; thread < THREADS; thread++) {
            threads.execute(this::sendUntilStopped);
        }
    }

    /** Waits until some more requests were answered; fails only after a generous time. */
    void awaitMoreAnswers(int count) throws InterruptedException {
        int goal = answered.get() + count;
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        while (answered.get() < goal) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("Requests are not answered any more: " + summary());
            }
            Polling.pause();
        }
    }

    /** Stops sending and waits for the answers that are under way. */
    Map<String, Told> finish() throws InterruptedException {
        stopped = true;
        threads.shutdown();
        if (!threads.awaitTermination(PATIENCE.toSeconds(), TimeUnit.SECONDS)) {
            throw new AssertionError("Callers still wait for answers");
        }
        return told;
    }

    @Override
    public void close() {
        stopped = true;
        threads.shutdownNow();
    }

    String summary() {
        Map<Told, Integer> counts = new ConcurrentHashMap<>();
        told.values().forEach(value -> counts.merge(value, 1, Integer::sum));
        return counts.toString();
    }

    private void sendUntilStopped() {
        while (!stopped) {
            int number = sent.incrementAndGet();
            List<NetworkAddress> addresses = List.copyOf(fleet.balanced());
            if (!addresses.isEmpty()) {
                String request = "request-" + number;
                Told result = send(addresses.get(number % addresses.size()), request, number);
                told.put(request, result);
                answered.addAndGet(result == Told.ANSWERED ? 1 : 0);
            }
        }
    }

    private Told send(NetworkAddress address, String name, int number) {
        String path = "/services/" + SERVICES.get(number % SERVICES.size()) + "/check";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header(UpstreamStandIn.REQUEST_HEADER, name)
                .header("Request-Team", "kitchens")
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(name))
                .build();
        try {
            return judge(client.send(request, HttpResponse.BodyHandlers.ofString()), name);
        } catch (ConnectException refused) {
            return Told.NOT_RUN;
        } catch (IOException lost) {
            return Told.UNKNOWN;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Told.UNKNOWN;
        }
    }

    private static Told judge(HttpResponse<String> response, String name) {
        if (response.statusCode() == 200) {
            boolean own = response.body().equals(name)
                    && response.headers()
                            .firstValue(UpstreamStandIn.RESPONSE_HEADER)
                            .filter(name::equals)
                            .isPresent();
            return own ? Told.ANSWERED : Told.WRONG_ANSWER;
        }
        return response.body().contains("\"not-run\"") ? Told.NOT_RUN : Told.UNKNOWN;
    }
}
