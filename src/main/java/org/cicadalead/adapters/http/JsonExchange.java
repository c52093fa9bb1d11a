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

/** Answers exchanges with JSON and errors with problem documents (RFC 9457). Stateless; safe for several threads. */
public final class JsonExchange {
    /** Seconds that a refused caller should wait when nothing better is known. */
    public static final int DEFAULT_RETRY_AFTER_SECONDS = 1;

    private static final int DISCARD_BUFFER_BYTES = 8 * 1_024;
    private static final long MAX_DISCARDED_BYTES = 64 * 1_024;
    private static final String PROBLEM_TYPE = "application/problem+json";
    private static final ObjectMapper MAPPER = DomainMappers.json();
    private static final int STATUS_OK = 200;

    private JsonExchange() {}

    /** Wraps a handler so that its errors are answered from the table of error kinds. */
    public static HttpHandler withErrorResponses(HttpHandler handler) {
        return exchange -> {
            try (exchange) {
                handleWithErrorResponses(handler, exchange);
            }
        };
    }

    /** The exchange is still open when an error is answered; the caller closes it. */
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

    /** A connection is used again only when the body of its last request, also an empty one, was read to its end. */
    private static void discardRestOfBody(HttpExchange exchange) throws IOException {
        discardBody(exchange, MAX_DISCARDED_BYTES);
    }

    /** The end of an empty body is read without waiting for the sender. */
    private static boolean hasEmptyBody(HttpExchange exchange) {
        String length = exchange.getRequestHeaders().getFirst("Content-Length");
        return !exchange.getRequestHeaders().containsKey("Transfer-Encoding") && (length == null || length.equals("0"));
    }

    /** Reads up to a number of bytes of the request's body; skipping would go past its end in the JDK's server. */
    public static void discardBody(HttpExchange exchange, long mostBytes) throws IOException {
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        long left = mostBytes;
        int read = 0;
        while (left > 0 && read >= 0) {
            read = exchange.getRequestBody().read(buffer);
            left -= read;
        }
    }

    /** Answers with a value as JSON. */
    public static void respond(HttpExchange exchange, Object value) throws IOException {
        respondBytes(exchange, STATUS_OK, "application/json", MAPPER.writeValueAsBytes(value));
    }

    /** Answers with a value as JSON under another status. */
    public static void respond(HttpExchange exchange, int status, Object value) throws IOException {
        respondBytes(exchange, status, "application/json", MAPPER.writeValueAsBytes(value));
    }

    /** Answers with plain text. */
    public static void respondText(HttpExchange exchange, int status, String text) throws IOException {
        respondBytes(exchange, status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with a problem document. */
    public static void respondProblem(HttpExchange exchange, ErrorKind kind, String detail) throws IOException {
        respondProblem(exchange, kind, detail, DEFAULT_RETRY_AFTER_SECONDS);
    }

    /** Answers with a problem document that says when to come back, where waiting helps. */
    public static void respondProblem(HttpExchange exchange, ErrorKind kind, String detail, int retryAfterSeconds)
            throws IOException {
        ProblemDocument problem = ProblemDocument.of(kind, detail, retryAfterSeconds);
        setRetryAfter(exchange, problem);
        respondBytes(exchange, kind.status(), PROBLEM_TYPE, MAPPER.writeValueAsBytes(problem));
    }

    /** Answers with a problem document but for the end of the answer, which closing the exchange brings. */
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

    /** Reads a JSON body to its end, so that the connection can be used again. */
    public static <T> T readBody(HttpExchange exchange, Class<T> type) throws IOException {
        try {
            return MAPPER.readValue(exchange.getRequestBody().readAllBytes(), type);
        } catch (com.fasterxml.jackson.core.JsonProcessingException malformed) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST,
                    "The body is not the expected JSON: " + malformed.getOriginalMessage());
        }
    }

    /** Returns the value of a query parameter. */
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
        boolean head = "HEAD".equals(exchange.getRequestMethod());
        exchange.sendResponseHeaders(status, head ? -1 : body.length);
        if (!head) {
            exchange.getResponseBody().write(body);
        }
    }
}
