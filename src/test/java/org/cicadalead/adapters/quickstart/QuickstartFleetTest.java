package org.cicadalead.adapters.quickstart;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.cicadalead.model.configuration.NetworkAddress;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class QuickstartFleetTest {
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
    void answersACallerThroughEveryEntryProcess() throws Exception {
        for (NetworkAddress address : fleet.callerAddresses()) {
            HttpResponse<String> response = post(address, "/services/diet-checks/check", "no sugar");
            assertEquals("no sugar", response.body());
        }
    }

    @Test
    void refusesAnUnknownServiceAsNotRun() throws Exception {
        HttpResponse<String> response = post(fleet.callerAddresses().get(0), "/services/unheard-of/", "x");
        assertEquals(404, response.statusCode());
        assertEquals(
                "application/problem+json",
                response.headers().firstValue("Content-Type").orElseThrow());
    }

    private static HttpResponse<String> post(NetworkAddress address, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }
}
