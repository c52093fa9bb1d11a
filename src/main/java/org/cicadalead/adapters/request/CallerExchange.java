package org.cicadalead.adapters.request;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.ports.TimerService;

/**
 * HTTP exchange with a caller, which gets at most one response. A response that cannot be completed is aborted by
 * closing the connection, so that the caller never mistakes a partial response for a complete one. Safe for use by
 * several threads.
 */
final class CallerExchange {
    /** Whether the response was begun or the exchange was closed. */
    enum Stage {
        OPEN,
        ANSWERING,
        CLOSED
    }

    private static final String CLOSE = "close";
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_DISCARDED_BYTES = 4 * 1_024 * 1_024;

    private final HttpExchange exchange;
    private final TimerService timers;
    private volatile boolean bodyRead;
    private final List<Runnable> onClosed = new CopyOnWriteArrayList<>();
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.OPEN);

    CallerExchange(HttpExchange exchange, RequestIdentifier identifier, TimerService timers, Runnable onClosed) {
        this.exchange = exchange;
        this.timers = timers;
        this.onClosed.add(onClosed);
        // The server creates both streams on first access, and closing the exchange requires them.
        exchange.getRequestBody();
        exchange.getResponseBody();
        exchange.getResponseHeaders().set(HeaderRules.IDENTIFIER, identifier.value());
    }

    /** Adds an action that runs after the exchange is closed. Must be called before a response can begin. */
    void onClosed(Runnable action) {
        onClosed.add(action);
    }

    HttpExchange httpExchange() {
        return exchange;
    }

    boolean isOpen() {
        return stage.get() == Stage.OPEN;
    }

    /** Closes the connection after the response if the caller asked for it, also among other connection options. */
    void applyConnectionHeader() {
        List<String> options = exchange.getRequestHeaders().getOrDefault(HeaderRules.CONNECTION, List.of());
        if (options.stream().anyMatch(option -> option.toLowerCase(Locale.ROOT).contains(CLOSE))) {
            closeConnectionAfterResponse();
        }
    }

    /** Closes the connection after the response. */
    void closeConnectionAfterResponse() {
        exchange.getResponseHeaders().set(HeaderRules.CONNECTION, CLOSE);
    }

    /** Begins the response; returns false when another thread has responded or aborted. */
    boolean tryBegin() {
        return stage.compareAndSet(Stage.OPEN, Stage.ANSWERING);
    }

    /** Closes the exchange after a complete response. */
    void finish() {
        if (stage.getAndSet(Stage.CLOSED) == Stage.ANSWERING) {
            exchange.close();
            onClosed.forEach(Runnable::run);
        }
    }

    /** Records that the caller's body has been read completely. */
    void markBodyRead() {
        bodyRead = true;
    }

    /** Responds with a problem document, unless a response was begun. */
    void reject(ErrorKind kind, String detail, int retryAfterSeconds) {
        if (!tryBegin()) {
            return;
        }
        try {
            if (bodyRead) {
                JsonExchange.respondProblem(exchange, kind, detail, retryAfterSeconds);
            } else {
                rejectWhileCallerSends(kind, detail, retryAfterSeconds);
            }
            finish();
        } catch (IOException callerDisconnected) {
            abort();
        }
    }

    /**
     * Begins the response immediately, but delays its end while the caller still sends its body: closing the connection
     * earlier could reset it, and the caller could lose the response.
     */
    private void rejectWhileCallerSends(ErrorKind kind, String detail, int retryAfterSeconds) throws IOException {
        closeConnectionAfterResponse();
        JsonExchange.startProblemResponse(exchange, kind, detail, retryAfterSeconds);
        TimerService.Subscription timeout = timers.after(DISCARD_TIMEOUT, this::finish);
        try {
            JsonExchange.discardBody(exchange, MAX_DISCARDED_BYTES);
        } catch (IOException readingStopped) {
            // The timeout expired or the caller disconnected; in both cases nothing more is read.
        } finally {
            timeout.close();
        }
    }

    /** Closes the connection without completing the response. */
    void abort() {
        if (stage.getAndSet(Stage.CLOSED) == Stage.CLOSED) {
            return;
        }
        exchange.setStreams(null, new FailingOutputStream());
        exchange.close();
        onClosed.forEach(Runnable::run);
    }

    /** Fails on close, which makes the server close the connection instead of writing the end of the response. */
    private static final class FailingOutputStream extends OutputStream {
        @Override
        public void write(int value) throws IOException {
            throw new IOException("the answer was aborted");
        }

        @Override
        public void close() throws IOException {
            throw new IOException("the answer was aborted");
        }
    }
}
