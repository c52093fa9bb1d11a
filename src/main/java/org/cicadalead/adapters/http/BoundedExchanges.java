package org.cicadalead.adapters.http;

import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Sends HTTP requests with a time limit that includes the body of the response. The timeout of the JDK's client ends
 * when the headers have arrived; a body that breaks off while its connection stays open would never complete. Stateless
 * and thread-safe.
 */
public final class BoundedExchanges {
    /**
     * Time limit of the body, in addition to the timeout of the request; a full page of the store takes 1.2 s at 7
     * Mbit/s.
     */
    private static final Duration BODY_TIMEOUT = Duration.ofMillis(1_500);

    private BoundedExchanges() {}

    /**
     * Sends a request that has a timeout. The result fails with a {@link java.util.concurrent.TimeoutException} when
     * the response is not complete in time, and the connection is closed. Throws nothing: a request that the client
     * cannot send, as its address is none, has a failed result.
     */
    public static CompletableFuture<HttpResponse<byte[]>> send(HttpClient client, HttpRequest request) {
        CompletableFuture<HttpResponse<byte[]>> exchange;
        try {
            exchange = client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        } catch (RuntimeException unusableRequest) {
            return CompletableFuture.failedFuture(unusableRequest);
        }
        Duration limit = request.timeout().orElse(Duration.ZERO).plus(BODY_TIMEOUT);
        return exchange.copy()
                .orTimeout(limit.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((response, failure) -> {
                    if (failure != null) {
                        exchange.cancel(true);
                    }
                });
    }

    /**
     * Returns whether a failure of {@link #send} shows that no connection was made, or that the request is none, so
     * that nothing of it was sent.
     */
    public static boolean showsNothingSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException
                || cause instanceof HttpConnectTimeoutException
                || cause instanceof IllegalArgumentException;
    }
}
