package org.cicadalead.adapters.request;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.RequestIdentifier;

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

    private final HttpExchange exchange;
    private final List<Runnable> onClosed = new CopyOnWriteArrayList<>();
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.OPEN);

    CallerExchange(HttpExchange exchange, RequestIdentifier identifier, Runnable onClosed) {
        this.exchange = exchange;
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

    HttpExchange raw() {
        return exchange;
    }

    boolean isOpen() {
        return stage.get() == Stage.OPEN;
    }

    /** Makes the connection close after the answer. */
    void closeConnectionAfterAnswer() {
        exchange.getResponseHeaders().set(HeaderRules.CONNECTION, "close");
    }

    /** Begins the answer; false when another thread has answered or aborted. */
    boolean begin() {
        return stage.compareAndSet(Stage.OPEN, Stage.ANSWERING);
    }

    /** Ends an answer that was written whole. */
    void finish() {
        if (stage.getAndSet(Stage.CLOSED) == Stage.ANSWERING) {
            exchange.close();
            onClosed.forEach(Runnable::run);
        }
    }

    /** Answers with a problem document, unless an answer was begun. */
    void refuse(ErrorKind kind, String detail, int retryAfterSeconds) {
        if (!begin()) {
            return;
        }
        try {
            JsonExchange.answerProblem(exchange, kind, detail, retryAfterSeconds);
            finish();
        } catch (IOException callerGone) {
            abort();
        }
    }

    /** Closes the connection without finishing the answer. */
    void abort() {
        if (stage.getAndSet(Stage.CLOSED) == Stage.CLOSED) {
            return;
        }
        exchange.setStreams(null, new UnfinishedOutputStream());
        exchange.close();
        onClosed.forEach(Runnable::run);
    }

    /** Fails on close, which makes the server close the connection instead of writing the end of the answer. */
    private static final class UnfinishedOutputStream extends OutputStream {
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
