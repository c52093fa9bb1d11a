package org.cicadalead.adapters.request;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.RequestProgress;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.request.RequestPhase;
import org.cicadalead.model.request.RequestTerms;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request on its way through this process. At most one thread works on it at a time; others may abort it.
 * Safe for use by several threads.
 */
final class CallerRequest {
    private final RequestTerms terms;
    private final RequestHead head;
    private final RequestBody body;
    private final CallerExchange exchange;
    private final ResponseListener listener;
    private final AtomicReference<RequestProgress> progress;
    private final AtomicReference<InputStream> upstreamResponse = new AtomicReference<>(InputStream.nullInputStream());
    private final AtomicReference<@Nullable Thread> submitter = new AtomicReference<>();
    private final AtomicReference<@Nullable HostRoute> hostChosenOnSubmit = new AtomicReference<>();
    private final AtomicBoolean notified = new AtomicBoolean();
    private volatile boolean longWork;

    CallerRequest(
            RequestTerms terms,
            RequestHead head,
            RequestBody body,
            CallerExchange exchange,
            ResponseListener listener) {
        this.terms = terms;
        this.head = head;
        this.body = body;
        this.exchange = exchange;
        this.listener = listener;
        this.progress = new AtomicReference<>(RequestProgress.admitted(terms.idempotent()));
    }

    /** Returns this request, before it was submitted, with a listener. */
    CallerRequest withListener(ResponseListener newListener) {
        return new CallerRequest(terms, head, body, exchange, newListener);
    }

    RequestTerms terms() {
        return terms;
    }

    RequestHead head() {
        return head;
    }

    RequestBody body() {
        return body;
    }

    CallerExchange exchange() {
        return exchange;
    }

    /** Tells the listener that the upstream answered; only the first of these calls counts. */
    void notifyResponse(Optional<StoredResponse> answer) {
        if (notified.compareAndSet(false, true)) {
            answer.ifPresentOrElse(listener::onResponse, listener::onUnstoredResponse);
        }
    }

    /** Tells the listener that the request failed; only the first of these calls counts. */
    void notifyFailed(ErrorKind kind) {
        if (notified.compareAndSet(false, true)) {
            listener.onFailed(kind);
        }
    }

    /** Notes that a thread submits it now, and goes on with it by itself when a host is chosen at once. */
    void startSubmitting() {
        submitter.set(Thread.currentThread());
    }

    /** Leaves the host to the submitting thread; false in any other thread. */
    boolean tryHandToSubmitter(HostRoute host) {
        if (submitter.get() != Thread.currentThread()) {
            return false;
        }
        hostChosenOnSubmit.set(host);
        return true;
    }

    /** Returns the host that was chosen while it was submitted. */
    Optional<HostRoute> endSubmitting() {
        submitter.set(null);
        return Optional.ofNullable(hostChosenOnSubmit.getAndSet(null));
    }

    /** Tells whether it waits, or runs, as long work. */
    boolean isLongWork() {
        return longWork;
    }

    void setLongWork(boolean isLong) {
        longWork = isLong;
    }

    /** Returns what kind of work it asks for: requests of one kind are expected to take equally long. */
    String workKind() {
        return head.workKind();
    }

    RequestProgress progress() {
        return progress.get();
    }

    String cause() {
        return terms.identifier().value();
    }

    void enterPhase(RequestPhase phase) {
        updateProgress(held -> held.enter(phase));
    }

    void updateProgress(UnaryOperator<RequestProgress> step) {
        progress.updateAndGet(step);
    }

    /** Remembers where the upstream's answer is read from, so that it can be cut off. */
    void setUpstreamResponse(InputStream answer) {
        upstreamResponse.set(answer);
    }

    /** Ends the reading of the upstream's answer. */
    void closeUpstreamResponse() {
        try {
            upstreamResponse.get().close();
        } catch (IOException alreadyBroken) {
            // The answer cannot be read any more, which is what was asked for.
        }
    }

    /** Ends it whatever it waits for: the caller's connection and the upstream's answer are closed. */
    void abort() {
        exchange.abort();
        closeUpstreamResponse();
    }
}
