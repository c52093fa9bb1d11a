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
 * A caller's exchange, answered at most once. An answer that cannot be finished is aborted by closing the connection,
 * so that the caller never takes a part for the whole. Safe for use by several threads.
 */
final class CallerExchange {
    /** Whether the answer was begun, and how it ended. */
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
        // The server makes both streams when they are first asked for, and closing relies on them.
        exchange.getRequestBody();
        exchange.getResponseBody();
        exchange.getResponseHeaders().set(HeaderRules.IDENTIFIER, identifier.value());
    }

    /** Adds what is to be done after the exchange; to be called before an answer can begin. */
    void onClosed(Runnable action) {
        onClosed.add(action);
    }

    HttpExchange httpExchange() {
        return exchange;
    }

    boolean isOpen() {
        return stage.get() == Stage.OPEN;
    }

    /** Makes the connection close after the answer when the caller asked for it among other options. */
    void applyConnectionHeader() {
        List<String> options = exchange.getRequestHeaders().getOrDefault(HeaderRules.CONNECTION, List.of());
        if (options.stream().anyMatch(option -> option.toLowerCase(Locale.ROOT).contains(CLOSE))) {
            closeConnectionAfterResponse();
        }
    }

    /** Makes the connection close after the answer. */
    void closeConnectionAfterResponse() {
        exchange.getResponseHeaders().set(HeaderRules.CONNECTION, CLOSE);
    }

    /** Begins the answer; false when another thread has answered or aborted. */
    boolean tryBegin() {
        return stage.compareAndSet(Stage.OPEN, Stage.ANSWERING);
    }

    /** Ends an answer that was written whole. */
    void finish() {
        if (stage.getAndSet(Stage.CLOSED) == Stage.ANSWERING) {
            exchange.close();
            onClosed.forEach(Runnable::run);
        }
    }

    /** Notes that nothing of the caller's body is left unread. */
    void markBodyRead() {
        bodyRead = true;
    }

    /** Answers with a problem document, unless an answer was begun. */
    void reject(ErrorKind kind, String detail, int retryAfterSeconds) {
        if (!tryBegin()) {
            return;
        }
        try {
            if (bodyRead) {
                JsonExchange.answerProblem(exchange, kind, detail, retryAfterSeconds);
            } else {
                rejectWhileCallerSends(kind, detail, retryAfterSeconds);
            }
            finish();
        } catch (IOException callerGone) {
            abort();
        }
    }

    /**
     * Answers at once, and holds the end of the answer back while the caller still sends its body: closing the
     * connection before could make the caller lose the answer to a reset.
     */
    private void rejectWhileCallerSends(ErrorKind kind, String detail, int retryAfterSeconds) throws IOException {
        closeConnectionAfterResponse();
        JsonExchange.beginProblem(exchange, kind, detail, retryAfterSeconds);
        TimerService.Subscription limit = timers.after(DISCARD_TIMEOUT, this::finish);
        try {
            JsonExchange.discardBody(exchange, MAX_DISCARDED_BYTES);
        } catch (IOException stopped) {
            // The time is over, or the caller is gone; either way nothing more is read.
        } finally {
            limit.close();
        }
    }

    /** Closes the connection without finishing the answer. */
    void abort() {
        if (stage.getAndSet(Stage.CLOSED) == Stage.CLOSED) {
            return;
        }
        exchange.setStreams(null, new FailingOutputStream());
        exchange.close();
        onClosed.forEach(Runnable::run);
    }

    /** Fails on close, which makes the server close the connection instead of writing the end of the answer. */
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
