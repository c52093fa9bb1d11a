package org.cicadalead.adapters.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Writes JSON responses, and problem documents (RFC 9457) for errors. Stateless and thread-safe. */
public final class JsonExchange {
    /** Default delay in seconds after which a refused caller should retry. */
    public static final int DEFAULT_RETRY_AFTER_SECONDS = 1;

    private static final int DISCARD_BUFFER_BYTES = 8 * 1_024;
    private static final long MAX_DISCARDED_BYTES = 64 * 1_024;
    private static final String PROBLEM_TYPE = "application/problem+json";
    private static final ObjectMapper MAPPER = DomainMappers.json();
    private static final int STATUS_OK = 200;

    private JsonExchange() {}

    /** Wraps a handler so that its exceptions become problem documents with the status of their error kind. */
    public static HttpHandler withErrorResponses(HttpHandler handler) {
        return exchange -> {
            try (exchange) {
                handleWithErrorResponses(handler, exchange);
            }
        };
    }

    /** Handles the exchange and leaves it open, so that the response to an error can be sent; the caller closes it. */
    private static void handleWithErrorResponses(HttpHandler handler, HttpExchange exchange) throws IOException {
        try {
            handler.handle(exchange);
        } catch (CicadaleadException failure) {
            discardRestOfBody(exchange);
            respondProblem(exchange, failure.kind(), failure.getMessage());
        } catch (RuntimeException failure) {
            discardRestOfBody(exchange);
            respondProblem(exchange, ErrorKind.INTERNAL, failure.toString());
        }
    }

    /**
     * The server reuses a connection only when the body of its last request, even an empty one, was read to its end.
     */
    private static void discardRestOfBody(HttpExchange exchange) throws IOException {
        discardBody(exchange, MAX_DISCARDED_BYTES);
    }

    /** Returns whether the request has no body, so that reading to its end does not block on the sender. */
    private static boolean hasEmptyBody(HttpExchange exchange) {
        String length = exchange.getRequestHeaders().getFirst("Content-Length");
        return !exchange.getRequestHeaders().containsKey("Transfer-Encoding") && (length == null || length.equals("0"));
    }

    /**
     * Reads and discards up to a number of bytes of the request's body. It reads instead of skipping, because skipping
     * would go past the end of the body in the JDK's server.
     */
    public static void discardBody(HttpExchange exchange, long maximumBytes) throws IOException {
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        long remainingBytes = maximumBytes;
        int read = 0;
        while (remainingBytes > 0 && read >= 0) {
            read = exchange.getRequestBody().read(buffer);
            remainingBytes -= read;
        }
    }

    /** Sends a value as JSON with status 200. */
    public static void respond(HttpExchange exchange, Object value) throws IOException {
        respondBytes(exchange, STATUS_OK, "application/json", MAPPER.writeValueAsBytes(value));
    }

    /** Sends a value as JSON with a given status. */
    public static void respond(HttpExchange exchange, int status, Object value) throws IOException {
        respondBytes(exchange, status, "application/json", MAPPER.writeValueAsBytes(value));
    }

    /** Sends plain text. */
    public static void respondText(HttpExchange exchange, int status, String text) throws IOException {
        respondBytes(exchange, status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a problem document with the default retry delay. */
    public static void respondProblem(HttpExchange exchange, ErrorKind kind, String detail) throws IOException {
        respondProblem(exchange, kind, detail, DEFAULT_RETRY_AFTER_SECONDS);
    }

    /** Sends a problem document; it contains the retry delay if the error kind advises to retry after a delay. */
    public static void respondProblem(HttpExchange exchange, ErrorKind kind, String detail, int retryAfterSeconds)
            throws IOException {
        ProblemDocument problem = ProblemDocument.of(kind, detail, retryAfterSeconds);
        setRetryAfter(exchange, problem);
        respondBytes(exchange, kind.status(), PROBLEM_TYPE, MAPPER.writeValueAsBytes(problem));
    }

    /** Sends the headers and content of a problem document; the response ends when the exchange is closed. */
    public static void startProblemResponse(HttpExchange exchange, ErrorKind kind, String detail, int retryAfterSeconds)
            throws IOException {
        ProblemDocument problem = ProblemDocument.of(kind, detail, retryAfterSeconds);
        setRetryAfter(exchange, problem);
        exchange.getResponseHeaders().set("Content-Type", PROBLEM_TYPE);
        exchange.sendResponseHeaders(kind.status(), 0);
        exchange.getResponseBody().write(MAPPER.writeValueAsBytes(problem));
        exchange.getResponseBody().flush();
    }

    private static void setRetryAfter(HttpExchange exchange, ProblemDocument problem) {
        problem.retryAfterSeconds()
                .ifPresent(seconds -> exchange.getResponseHeaders().set("Retry-After", String.valueOf(seconds)));
    }

    /** Encodes a value as JSON. */
    public static byte[] encode(Object value) throws IOException {
        return MAPPER.writeValueAsBytes(value);
    }

    /** Reads a JSON body to its end, so that the connection can be reused. */
    public static <T> T readBody(HttpExchange exchange, Class<T> type) throws IOException {
        try {
            return MAPPER.readValue(exchange.getRequestBody().readAllBytes(), type);
        } catch (com.fasterxml.jackson.core.JsonProcessingException malformed) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST,
                    "The body is not the expected JSON: " + malformed.getOriginalMessage());
        }
    }

    /** Returns the value of a query parameter; empty when the query does not contain it. */
    public static Optional<String> queryParameter(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        if (query == null) {
            return Optional.empty();
        }
        for (String pair : query.split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return Optional.of(pair.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    private static void respondBytes(HttpExchange exchange, int status, String contentType, byte[] body)
            throws IOException {
        if (hasEmptyBody(exchange)) {
            discardRestOfBody(exchange);
        }
        exchange.getResponseHeaders().set("Content-Type", contentType);
        boolean isHeadRequest = "HEAD".equals(exchange.getRequestMethod());
        exchange.sendResponseHeaders(status, isHeadRequest ? -1 : body.length);
        if (!isHeadRequest) {
            exchange.getResponseBody().write(body);
        }
    }
}
