package org.cicadalead.adapters.quickstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.locks.LockSupport;
import org.cicadalead.model.configuration.NetworkAddress;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class QuickstartFleetTest {
    private static final int MAX_POLLS = 1_000;
    private static final long POLL_INTERVAL_NANOSECONDS = 20_000_000;

    private static QuickstartFleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = QuickstartFleet.start(ExampleDeployment.load("blue-mountain"));
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    @Test
    void forwardsRequestThroughEveryEntryProcess() throws Exception {
        for (NetworkAddress address : fleet.callerAddresses()) {
            HttpResponse<String> response = post(address, "/services/diet-checks/check", "no sugar");
            assertEquals("no sugar", response.body());
        }
    }

    @Test
    void rejectsUnknownServiceAsNotRun() throws Exception {
        HttpResponse<String> response = post(fleet.callerAddresses().get(0), "/services/unheard-of/", "x");
        assertEquals(404, response.statusCode());
        assertEquals(
                "application/problem+json",
                response.headers().firstValue("Content-Type").orElseThrow());
    }

    @Test
    void emitsProcessReadyOnTimeline() throws Exception {
        NetworkAddress address = fleet.entries().get(0).administrationAddress();
        String timeline = "";
        for (int poll = 0; poll < MAX_POLLS && !timeline.contains("PROCESS_READY"); poll++) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOSECONDS);
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/timeline"))
                    .build();
            timeline = HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.ofString())
                    .body();
        }
        assertTrue(timeline.contains("PROCESS_READY"));
    }

    private static HttpResponse<String> post(NetworkAddress address, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }
}
