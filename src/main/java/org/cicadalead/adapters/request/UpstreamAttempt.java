package org.cicadalead.adapters.request;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestPhase;

/**
 * Performs one attempt: sends a request to one worker and forwards its response. The worker's slot is released as soon
 * as the response has been read completely, so that a slow caller of a short response holds no slot. Safe for use by
 * several threads.
 */
final class UpstreamAttempt {
    private static final int MAX_STORED_RESPONSE_BYTES = 64 * 1_024;
    private static final int FIRST_ERROR_STATUS = 500;
    private static final String VIA = "Via";
    private static final String VIA_THIS_HOP = "1.1 cicadalead";

    private final RequestPorts ports;
    private final UpstreamClients clients;

    UpstreamAttempt(RequestPorts ports, UpstreamClients clients) {
        this.ports = ports;
        this.clients = clients;
    }

    /** Runs the attempt. If the outcome tells that the request ran, the response was forwarded to the caller. */
    AttemptOutcome run(CallerRequest request, HostRoute host, HeldSlot heldSlot) {
        request.enterPhase(RequestPhase.CHOSEN);
        long remaining = request.terms().remainingNanoseconds(ports.timers().nanoTime());
        if (remaining <= 0 || !ports.view().mayPlace(host.state())) {
            return AttemptOutcome.VIEW_OUT_OF_DATE;
        }
        HttpRequest httpRequest = buildHttpRequest(request, host, Duration.ofNanos(remaining));
        HttpClient client = clients.clientFor(host);
        if (!ports.view().mayPlace(host.state())) {
            return AttemptOutcome.VIEW_OUT_OF_DATE;
        }
        request.enterPhase(RequestPhase.SENT);
        try {
            return forwardResponse(
                    request, client.send(httpRequest, HttpResponse.BodyHandlers.ofInputStream()), heldSlot);
        } catch (ConnectException | HttpConnectTimeoutException connectFailed) {
            return AttemptOutcome.NOT_CONNECTED;
        } catch (HttpTimeoutException timeoutExceeded) {
            return AttemptOutcome.TIMED_OUT;
        } catch (IOException connectionLost) {
            return request.body().hasFailed() ? AttemptOutcome.CALLER_FAILED : AttemptOutcome.CONNECTION_LOST;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return AttemptOutcome.CONNECTION_LOST;
        }
    }

    private static HttpRequest buildHttpRequest(CallerRequest request, HostRoute host, Duration timeout) {
        try {
            HttpRequest.Builder builder = HttpRequest.newBuilder(
                            request.head().toUri(host.definition().address().toString()))
                    .timeout(timeout)
                    .method(request.head().method(), request.body().publisher());
            HeaderRules.forEachForwarded(request.head().headers(), builder::header);
            return builder.header(VIA, VIA_THIS_HOP).build();
        } catch (IllegalArgumentException invalid) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST, "The request cannot be forwarded: " + invalid.getMessage(), invalid);
        }
    }

    /**
     * Forwards the response. Until the first byte is sent to the caller, an incomplete response is a failed attempt.
     */
    private AttemptOutcome forwardResponse(CallerRequest request, HttpResponse<InputStream> response, HeldSlot heldSlot)
            throws IOException {
        try (InputStream body = response.body()) {
            request.setUpstreamResponse(body);
            byte[] prefix = body.readNBytes(MAX_STORED_RESPONSE_BYTES + 1);
            if (prefix.length <= MAX_STORED_RESPONSE_BYTES) {
                heldSlot.release();
                StoredResponse storedResponse =
                        new StoredResponse(response.statusCode(), forwardedHeaders(response), prefix);
                request.notifyResponse(Optional.of(storedResponse));
                writeResponse(request, storedResponse, contentLength(response));
                return outcomeOf(response);
            }
            request.notifyResponse(Optional.empty());
            return streamResponse(request, response, prefix, body);
        }
    }

    /** Writes a complete response to the caller. */
    void writeResponse(CallerRequest request, StoredResponse storedResponse, Optional<Long> declaredLength) {
        CallerExchange exchange = request.exchange();
        if (!exchange.tryBegin()) {
            return;
        }
        request.enterPhase(RequestPhase.ANSWERED);
        try {
            addHeaders(exchange.httpExchange(), storedResponse.headers());
            if (request.head().isHeadMethod()) {
                declaredLength.ifPresent(length -> exchange.httpExchange()
                        .getResponseHeaders()
                        .set(HeaderRules.CONTENT_LENGTH, String.valueOf(length)));
            }
            boolean empty = storedResponse.body().length == 0;
            exchange.httpExchange()
                    .sendResponseHeaders(storedResponse.status(), empty ? -1 : storedResponse.body().length);
            if (!empty) {
                exchange.httpExchange().getResponseBody().write(storedResponse.body());
            }
            exchange.finish();
        } catch (IOException callerDisconnected) {
            exchange.abort();
        }
    }

    private AttemptOutcome streamResponse(
            CallerRequest request, HttpResponse<InputStream> response, byte[] prefix, InputStream body) {
        CallerExchange exchange = request.exchange();
        if (!exchange.tryBegin()) {
            return AttemptOutcome.CALLER_FAILED;
        }
        request.enterPhase(RequestPhase.ANSWERED);
        try {
            addHeaders(exchange.httpExchange(), forwardedHeaders(response));
            exchange.httpExchange()
                    .sendResponseHeaders(
                            response.statusCode(), contentLength(response).orElse(0L));
            OutputStream output = exchange.httpExchange().getResponseBody();
            output.write(prefix);
            body.transferTo(output);
            exchange.finish();
            return outcomeOf(response);
        } catch (IOException transferFailed) {
            exchange.abort();
            ports.events()
                    .emit(
                            EventKind.REQUEST_ANSWER_CUT,
                            Optional.of(request.cause()),
                            EventDetail.of("failure", transferFailed.getMessage()));
            return AttemptOutcome.CALLER_FAILED;
        }
    }

    private static AttemptOutcome outcomeOf(HttpResponse<?> response) {
        return response.statusCode() >= FIRST_ERROR_STATUS
                ? AttemptOutcome.ANSWERED_WITH_ERROR
                : AttemptOutcome.ANSWERED;
    }

    private static Optional<Long> contentLength(HttpResponse<?> response) {
        return response.headers().firstValue(HeaderRules.CONTENT_LENGTH).map(Long::parseLong);
    }

    private static Map<String, List<String>> forwardedHeaders(HttpResponse<?> response) {
        Map<String, List<String>> headers = new TreeMap<>();
        HeaderRules.forEachForwarded(
                response.headers().map(), (name, value) -> headers.computeIfAbsent(name, absent -> new ArrayList<>())
                        .add(value));
        return headers;
    }

    private static void addHeaders(HttpExchange exchange, Map<String, List<String>> headers) {
        headers.forEach((name, values) -> {
            if (!name.equalsIgnoreCase(HeaderRules.IDENTIFIER)) {
                values.forEach(value -> exchange.getResponseHeaders().add(name, value));
            }
        });
    }
}
