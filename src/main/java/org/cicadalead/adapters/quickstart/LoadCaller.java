package org.cicadalead.adapters.quickstart;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cicadalead.adapters.entry.EntryProcess;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.model.identity.ServiceName;

/** Calls one service in a loop: sends a request, checks the response and pauses. For use by one thread. */
final class LoadCaller implements Runnable {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);
    private static final int MAX_BODY_BYTES = 4_096;
    private static final int STATUS_OK = 200;

    private static final AtomicLong NEXT_REQUEST = new AtomicLong();

    private final ServiceName service;
    private final Supplier<List<EntryProcess>> entries;
    private final DoubleSupplier pauseMilliseconds;
    private final BooleanSupplier shouldContinue;
    private final CallerLedger ledger;
    private final HttpClient client;
    private final Random random;

    LoadCaller(
            ServiceName service,
            Supplier<List<EntryProcess>> entries,
            DoubleSupplier pauseMilliseconds,
            BooleanSupplier shouldContinue,
            CallerLedger ledger,
            HttpClient client,
            long seed) {
        this.service = service;
        this.entries = entries;
        this.pauseMilliseconds = pauseMilliseconds;
        this.shouldContinue = shouldContinue;
        this.ledger = ledger;
        this.client = client;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        try {
            while (shouldContinue.getAsBoolean()) {
                sendRequest();
                Thread.sleep((long) (pauseMilliseconds.getAsDouble() * (0.5 + random.nextDouble())));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendRequest() throws InterruptedException {
        String identifier = "request-" + NEXT_REQUEST.incrementAndGet();
        boolean idempotent = random.nextBoolean();
        byte[] body = new byte[1 + random.nextInt(MAX_BODY_BYTES)];
        random.nextBytes(body);
        List<EntryProcess> readyEntries =
                entries.get().stream().filter(EntryProcess::isReady).toList();
        EntryProcess entry = readyEntries.get(random.nextInt(readyEntries.size()));
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + entry.callerAddress() + "/services/" + service + "/work"))
                .timeout(RESPONSE_TIMEOUT)
                .header(UpstreamStandIn.REQUEST_HEADER, identifier)
                .method(idempotent ? "PUT" : "POST", HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        ledger.recordSent(identifier, idempotent);
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            ledger.recordOutcome(identifier, classify(identifier, body, response));
        } catch (IOException failure) {
            ledger.recordOutcome(identifier, CallerOutcome.LOST);
        }
    }

    private static CallerOutcome classify(String identifier, byte[] body, HttpResponse<byte[]> response) {
        if (response.statusCode() == STATUS_OK) {
            boolean isOwnResponse = response.headers()
                    .firstValue(UpstreamStandIn.RESPONSE_HEADER)
                    .filter(identifier::equals)
                    .isPresent();
            return isOwnResponse && Arrays.equals(body, response.body())
                    ? CallerOutcome.ANSWERED
                    : CallerOutcome.ANSWERED_WRONGLY;
        }
        String problem = new String(response.body(), java.nio.charset.StandardCharsets.UTF_8);
        if (problem.contains("\"execution\":\"not-run\"")) {
            return CallerOutcome.REFUSED;
        }
        return problem.contains("\"execution\":\"unknown\"") ? CallerOutcome.UNKNOWN : CallerOutcome.ANSWERED_WRONGLY;
    }
}
