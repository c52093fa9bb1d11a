package org.cicadalead.adapters.security;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Authenticates the requests of operators. Without keys every request is accepted, because such a process binds only to
 * loopback addresses. A signature is valid once and for a short time, so that a recorded request cannot be replayed.
 * Thread-safe.
 */
public final class OperatorAuthenticator {
    /** Maximum difference between the clocks of the signer and this process. */
    public static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(2);

    private static final int MAX_NONCES = 50_000;
    private static final String READ_METHOD = "GET";

    private final Supplier<SharedKeys> keys;
    private final LongSupplier wallClockMilliseconds;
    private final Map<String, Long> usedNonces = new ConcurrentHashMap<>();
    private final LongAdder rejectedRequests = new LongAdder();

    /** Creates an authenticator that reads the keys in force and a wall clock in milliseconds since the epoch. */
    public OperatorAuthenticator(Supplier<SharedKeys> keys, LongSupplier wallClockMilliseconds) {
        this.keys = keys;
        this.wallClockMilliseconds = wallClockMilliseconds;
    }

    /**
     * Returns whether a request is accepted, and counts it if not. A valid signature cannot be used a second time after
     * this call.
     */
    public boolean authenticate(String method, String path, Optional<String> authorization, byte[] body) {
        SharedKeys currentKeys = keys.get();
        boolean isAccepted = currentKeys.isEmpty()
                || authorization
                        .filter(header -> hasReaderToken(currentKeys, method, header)
                                || verifySignature(currentKeys, method, path, header, body))
                        .isPresent();
        if (!isAccepted) {
            rejectedRequests.increment();
        }
        return isAccepted;
    }

    /** Returns whether requests have to carry a signature or a reader token. */
    public boolean requiresSignature() {
        return !keys.get().isEmpty();
    }

    /** Returns the number of rejected requests. */
    public long rejectedRequests() {
        return rejectedRequests.sum();
    }

    private static boolean hasReaderToken(SharedKeys currentKeys, String method, String header) {
        return method.equals(READ_METHOD) && OperatorSignature.isReaderToken(currentKeys, header);
    }

    private boolean verifySignature(SharedKeys currentKeys, String method, String path, String header, byte[] body) {
        return OperatorSignature.parse(header)
                .filter(signature -> isWithinClockTolerance(signature.timeMilliseconds()))
                .filter(signature -> signature.matches(currentKeys, method, path, body))
                .filter(this::tryUseNonce)
                .isPresent();
    }

    private boolean isWithinClockTolerance(long signedAt) {
        return Math.abs(wallClockMilliseconds.getAsLong() - signedAt) <= CLOCK_TOLERANCE.toMillis();
    }

    private boolean tryUseNonce(OperatorSignature signature) {
        long now = wallClockMilliseconds.getAsLong();
        if (usedNonces.size() >= MAX_NONCES) {
            usedNonces.values().removeIf(signedAt -> now - signedAt > CLOCK_TOLERANCE.toMillis());
        }
        return usedNonces.size() < MAX_NONCES
                && usedNonces.putIfAbsent(signature.nonce(), signature.timeMilliseconds()) == null;
    }
}
