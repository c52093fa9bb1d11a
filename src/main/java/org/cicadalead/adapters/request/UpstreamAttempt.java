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
 * One attempt: sends a request to one worker and passes its answer on. The worker's slot is given back as soon as its
 * answer was read whole, so that a slow caller of a short answer holds no slot. Safe for use by several threads.
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

    /** Runs the attempt; when the outcome says that the request ran, the caller was answered. */
    AttemptOutcome run(CallerRequest request, HostRoute host, HeldSlot hold) {
        request.enterPhase(RequestPhase.CHOSEN);
        long remaining = request.terms().remainingNanoseconds(ports.timers().nanoTime());
        if (remaining <= 0 || !ports.view().mayPlace(host.state())) {
            return AttemptOutcome.VIEW_OUT_OF_DATE;
        }
        HttpRequest message = buildHttpRequest(request, host, Duration.ofNanos(remaining));
        HttpClient client = clients.clientFor(host);
        if (!ports.view().mayPlace(host.state())) {
            return AttemptOutcome.VIEW_OUT_OF_DATE;
        }
        request.enterPhase(RequestPhase.SENT);
        try {
            return forwardResponse(request, client.send(message, HttpResponse.BodyHandlers.ofInputStream()), hold);
        } catch (ConnectException | HttpConnectTimeoutException notConnected) {
            return AttemptOutcome.NOT_CONNECTED;
        } catch (HttpTimeoutException late) {
            return AttemptOutcome.TIMED_OUT;
        } catch (IOException lost) {
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
        } catch (IllegalArgumentException refused) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST, "The request cannot be forwarded: " + refused.getMessage(), refused);
        }
    }

    /** Until the first byte goes to the caller, a broken answer is a failed attempt. */
    private AttemptOutcome forwardResponse(CallerRequest request, HttpResponse<InputStream> response, HeldSlot hold)
            throws IOException {
        try (InputStream body = response.body()) {
            request.setUpstreamResponse(body);
            byte[] ahead = body.readNBytes(MAX_STORED_RESPONSE_BYTES + 1);
            if (ahead.length <= MAX_STORED_RESPONSE_BYTES) {
                hold.release();
                StoredResponse answer = new StoredResponse(response.statusCode(), forwardedHeaders(response), ahead);
                request.notifyResponse(Optional.of(answer));
                writeResponse(request, answer, contentLength(response));
                return outcomeOf(response);
            }
            request.notifyResponse(Optional.empty());
            return streamResponse(request, response, ahead, body);
        }
    }

    /** Answers the caller with a whole answer. */
    void writeResponse(CallerRequest request, StoredResponse answer, Optional<Long> declaredLength) {
        CallerExchange exchange = request.exchange();
        if (!exchange.tryBegin()) {
            return;
        }
        request.enterPhase(RequestPhase.ANSWERED);
        try {
            addHeaders(exchange.httpExchange(), answer.headers());
            if (request.head().isHeadMethod()) {
                declaredLength.ifPresent(length -> exchange.httpExchange()
                        .getResponseHeaders()
                        .set(HeaderRules.CONTENT_LENGTH, String.valueOf(length)));
            }
            boolean empty = answer.body().length == 0;
            exchange.httpExchange().sendResponseHeaders(answer.status(), empty ? -1 : answer.body().length);
            if (!empty) {
                exchange.httpExchange().getResponseBody().write(answer.body());
            }
            exchange.finish();
        } catch (IOException callerGone) {
            exchange.abort();
        }
    }

    private AttemptOutcome streamResponse(
            CallerRequest request, HttpResponse<InputStream> response, byte[] ahead, InputStream body) {
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
            output.write(ahead);
            body.transferTo(output);
            exchange.finish();
            return outcomeOf(response);
        } catch (IOException cut) {
            exchange.abort();
            ports.events()
                    .emit(
                            EventKind.REQUEST_ANSWER_CUT,
                            Optional.of(request.cause()),
                            EventDetail.of("failure", cut.getMessage()));
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
                response.headers().map(), (name, value) -> headers.computeIfAbsent(name, unseen -> new ArrayList<>())
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
