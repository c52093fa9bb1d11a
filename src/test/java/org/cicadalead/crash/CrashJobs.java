package org.cicadalead.crash;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.configuration.NetworkAddress;

/** A caller that submits long jobs until each is accepted, and asks until each has finished. For use by one thread. */
final class CrashJobs {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration PATIENCE = Duration.ofMinutes(3);
    private static final int ACCEPTED = 202;

    private final CrashFleet fleet;
    private final List<String> accepted = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    CrashJobs(CrashFleet fleet) {
        this.fleet = fleet;
    }

    /** Submits a job under a key once, and returns the answer. */
    HttpResponse<String> submitOnce(NetworkAddress address, String key, int runMilliseconds)
            throws IOException, InterruptedException {
        String body = "{\"pool\":\"routes\",\"processors\":1,\"memoryGigabytes\":1,\"payload\":\"run-milliseconds="
                + runMilliseconds + "\"}";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/jobs"))
                .header("Request-Team", "drivers")
                .header("Idempotency-Key", "\"" + key + "\"")
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Submits a job again and again, through any entry process, until one accepts it. */
    void submit(String key, int runMilliseconds) throws InterruptedException {
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        for (int attempt = 0; System.nanoTime() < deadline; attempt++) {
            try {
                HttpResponse<String> answer = submitOnce(address(attempt), key, runMilliseconds);
                if (answer.statusCode() == ACCEPTED) {
                    accepted.add(answer.headers().firstValue("Location").orElseThrow());
                    return;
                }
            } catch (IOException lost) {
                // The same key gives the same job, so the caller may simply ask again.
            }
            Polling.pause();
        }
        throw new AssertionError("No entry process accepted the job " + key);
    }

    /** Waits until every accepted job has finished. */
    void awaitAllFinished() throws InterruptedException {
        for (String location : accepted) {
            awaitFinished(location);
        }
    }

    List<String> accepted() {
        return accepted;
    }

    private void awaitFinished(String location) throws InterruptedException {
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        String last = "";
        for (int attempt = 0; System.nanoTime() < deadline; attempt++) {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address(attempt) + location))
                        .timeout(TIMEOUT)
                        .build();
                last = client.send(request, HttpResponse.BodyHandlers.ofString())
                        .body();
                if (last.contains("\"FINISHED\"")) {
                    return;
                }
            } catch (IOException lost) {
                last = lost.toString();
            }
            Polling.pause();
        }
        throw new AssertionError(location + " did not finish: " + last);
    }

    private NetworkAddress address(int attempt) {
        List<NetworkAddress> addresses = List.copyOf(fleet.balanced());
        return addresses.get(attempt % addresses.size());
    }
}
