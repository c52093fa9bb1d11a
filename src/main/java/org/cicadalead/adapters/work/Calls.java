package org.cicadalead.adapters.work;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Starts calls to ports. Stateless; safe for use by several threads. */
final class Calls {
    private Calls() {}

    /** Starts a call; a call that throws has a failed result, as one whose result fails later. */
    static <T> CompletableFuture<T> attempt(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }
}
