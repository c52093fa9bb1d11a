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

/** Submits long jobs until each is accepted, and polls until each has finished. For use by one thread. */
final class CrashJobSubmitter {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration JOB_TIMEOUT = Duration.ofMinutes(3);
    private static final int ACCEPTED_STATUS = 202;

    private final CrashFleet fleet;
    private final List<String> acceptedLocations = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();

    CrashJobSubmitter(CrashFleet fleet) {
        this.fleet = fleet;
    }

    /** Submits a job once with an idempotency key and returns the response. */
    HttpResponse<String> submitOnce(NetworkAddress address, String key, int runMilliseconds)
            throws IOException, InterruptedException {
        String body = "{\"pool\":\"routes\",\"processors\":1,\"memoryGigabytes\":1,\"payload\":\"run-milliseconds="
                + runMilliseconds + "\"}";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/jobs"))
                .header("Request-Team", "drivers")
                .header("Idempotency-Key", "\"" + key + "\"")
                .timeout(REQUEST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Retries the submission of a job, through any entry process, until one accepts it. */
    void submit(String key, int runMilliseconds) throws InterruptedException {
        long deadline = System.nanoTime() + JOB_TIMEOUT.toNanos();
        for (int attempt = 0; System.nanoTime() < deadline; attempt++) {
            try {
                HttpResponse<String> response = submitOnce(pickAddress(attempt), key, runMilliseconds);
                if (response.statusCode() == ACCEPTED_STATUS) {
                    acceptedLocations.add(
                            response.headers().firstValue("Location").orElseThrow());
                    return;
                }
            } catch (IOException failure) {
                // The idempotency key identifies the job, so the submission can be retried safely.
            }
            Polling.pause();
        }
        throw new AssertionError("No entry process accepted the job " + key);
    }

    /** Waits until every accepted job has finished. */
    void awaitAllFinished() throws InterruptedException {
        for (String location : acceptedLocations) {
            awaitFinished(location);
        }
    }

    List<String> acceptedLocations() {
        return acceptedLocations;
    }

    private void awaitFinished(String location) throws InterruptedException {
        long deadline = System.nanoTime() + JOB_TIMEOUT.toNanos();
        String lastResponse = "";
        for (int attempt = 0; System.nanoTime() < deadline; attempt++) {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + pickAddress(attempt) + location))
                        .timeout(REQUEST_TIMEOUT)
                        .build();
                lastResponse = client.send(request, HttpResponse.BodyHandlers.ofString())
                        .body();
                if (lastResponse.contains("\"FINISHED\"")) {
                    return;
                }
            } catch (IOException failure) {
                lastResponse = failure.toString();
            }
            Polling.pause();
        }
        throw new AssertionError(location + " did not finish: " + lastResponse);
    }

    private NetworkAddress pickAddress(int attempt) {
        List<NetworkAddress> addresses = List.copyOf(fleet.balancedAddresses());
        return addresses.get(attempt % addresses.size());
    }
}
