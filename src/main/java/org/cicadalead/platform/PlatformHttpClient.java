package org.cicadalead.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.adapters.http.BoundedExchanges;

/** Sends HTTP requests to the platform, with JSON bodies where there is a body. Safe for use by several threads. */
final class PlatformHttpClient {
    /** Value used instead of a status code when no connection was made, so that nothing was sent. */
    static final int NOT_SENT = 0;

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int CONFLICT = 409;
    static final int GONE = 410;
    static final int PRECONDITION_FAILED = 412;
    static final int MISDIRECTED_REQUEST = 421;
    static final int TOO_MANY_REQUESTS = 429;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int INSUFFICIENT_STORAGE = 507;

    /** The mapper of all bodies. */
    static final ObjectMapper JSON = JsonMapper.builder().build();

    private final HttpClient client;

    PlatformHttpClient(HttpClient client) {
        this.client = client;
    }

    /** Sends a request; the result is empty when no complete response arrived in time. */
    CompletableFuture<Optional<Response>> send(
            String method, String address, String path, byte[] body, Map<String, String> headers, Duration timeout) {
        HttpRequest request;
        try {
            request = createRequest(method, address, path, body, headers, timeout);
        } catch (IllegalArgumentException unusableAddressOrHeader) {
            return CompletableFuture.completedFuture(Optional.of(new Response(NOT_SENT, new byte[0])));
        }
        return BoundedExchanges.send(client, request)
                .thenApply(response -> Optional.of(new Response(response.statusCode(), response.body())))
                .exceptionally(PlatformHttpClient::toFailedResponse);
    }

    private static HttpRequest createRequest(
            String method, String address, String path, byte[] body, Map<String, String> headers, Duration timeout) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(timeout)
                .method(
                        method,
                        body.length == 0
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        return request.build();
    }

    private static Optional<Response> toFailedResponse(Throwable failure) {
        return BoundedExchanges.showsNothingSent(failure)
                ? Optional.of(new Response(NOT_SENT, new byte[0]))
                : Optional.empty();
    }

    /** Sends a POST request with a JSON body. */
    CompletableFuture<Optional<Response>> post(
            String address, String path, JsonNode body, Map<String, String> headers, Duration timeout) {
        return send("POST", address, path, encode(body), headers, timeout);
    }

    /** Encodes a JSON body. */
    static byte[] encode(JsonNode body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("The JSON body cannot be encoded", failure);
        }
    }

    /** Decodes a JSON body; returns a missing node when the body is not JSON. */
    static JsonNode decode(byte[] body) {
        try {
            JsonNode node = JSON.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException notJson) {
            return MissingNode.getInstance();
        }
    }

    /** A response. Immutable, provided that nobody changes the body. */
    static final class Response {
        private final int status;
        private final byte[] body;

        Response(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        int status() {
            return status;
        }

        byte[] body() {
            return body;
        }

        JsonNode json() {
            return decode(body);
        }
    }
}
