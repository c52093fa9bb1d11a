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
 * A caller's request that this process handles. At most one thread works on it at a time; other threads may abort it.
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

    /** Returns a copy of this request with a listener. Must be called before the request is submitted. */
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

    /** Notifies the listener that the upstream responded. Only the first notification of the listener has an effect. */
    void notifyResponse(Optional<StoredResponse> response) {
        if (notified.compareAndSet(false, true)) {
            response.ifPresentOrElse(listener::onResponse, listener::onUnstoredResponse);
        }
    }

    /** Notifies the listener that the request failed. Only the first notification of the listener has an effect. */
    void notifyFailed(ErrorKind kind) {
        if (notified.compareAndSet(false, true)) {
            listener.onFailed(kind);
        }
    }

    /**
     * Marks the current thread as the submitter, which runs the attempt itself if a host is chosen during submission.
     */
    void startSubmitting() {
        submitter.set(Thread.currentThread());
    }

    /** Passes the chosen host to the submitting thread; returns false when called from any other thread. */
    boolean tryHandToSubmitter(HostRoute host) {
        if (submitter.get() != Thread.currentThread()) {
            return false;
        }
        hostChosenOnSubmit.set(host);
        return true;
    }

    /** Ends the submission and returns the host that was chosen during it, if any. */
    Optional<HostRoute> endSubmitting() {
        submitter.set(null);
        return Optional.ofNullable(hostChosenOnSubmit.getAndSet(null));
    }

    /** Returns whether the request is queued and run as long work. */
    boolean isLongWork() {
        return longWork;
    }

    void setLongWork(boolean isLong) {
        longWork = isLong;
    }

    /** Returns the kind of work of the request. Requests of the same kind are expected to take equally long. */
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
        updateProgress(current -> current.enter(phase));
    }

    void updateProgress(UnaryOperator<RequestProgress> transition) {
        progress.updateAndGet(transition);
    }

    /** Sets the stream from which the upstream's response is read, so that it can be closed. */
    void setUpstreamResponse(InputStream response) {
        upstreamResponse.set(response);
    }

    /** Closes the upstream's response, which ends reading from it. */
    void closeUpstreamResponse() {
        try {
            upstreamResponse.get().close();
        } catch (IOException alreadyFailed) {
            // The response cannot be read any more, as intended.
        }
    }

    /** Aborts the request in any phase by closing the caller's connection and the upstream's response. */
    void abort() {
        exchange.abort();
        closeUpstreamResponse();
    }
}
