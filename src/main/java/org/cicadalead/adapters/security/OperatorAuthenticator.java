package org.cicadalead.adapters.security;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Decides which operators' requests are taken. Without keys all are, as such a process binds loopback only. A signature
 * is good for a short time and once, so that a recorded request cannot be sent again. Safe for use by several threads.
 */
public final class OperatorAuthenticator {
    /** How far a signer's clock may be off. */
    public static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(2);

    private static final int MAX_NONCES = 50_000;
    private static final String READ_METHOD = "GET";

    private final Supplier<SharedKeys> keys;
    private final LongSupplier wallClockMilliseconds;
    private final Map<String, Long> usedNonces = new ConcurrentHashMap<>();
    private final LongAdder rejectedRequests = new LongAdder();

    /** Creates a gate on the keys in force and a wall clock. */
    public OperatorAuthenticator(Supplier<SharedKeys> keys, LongSupplier wallClockMilliseconds) {
        this.keys = keys;
        this.wallClockMilliseconds = wallClockMilliseconds;
    }

    /** Tells whether a request is taken; a signature that it carries is used up. */
    public boolean authenticate(String method, String path, Optional<String> authorization, byte[] body) {
        SharedKeys current = keys.get();
        boolean admitted = current.isEmpty()
                || authorization
                        .filter(header -> hasReaderToken(current, method, header)
                                || verifySignature(current, method, path, header, body))
                        .isPresent();
        if (!admitted) {
            rejectedRequests.increment();
        }
        return admitted;
    }

    /** Tells whether requests have to be signed. */
    public boolean requiresSignature() {
        return !keys.get().isEmpty();
    }

    /** Returns the number of requests that were not taken. */
    public long rejectedRequests() {
        return rejectedRequests.sum();
    }

    private static boolean hasReaderToken(SharedKeys current, String method, String header) {
        return method.equals(READ_METHOD) && OperatorSignature.isReaderToken(current, header);
    }

    private boolean verifySignature(SharedKeys current, String method, String path, String header, byte[] body) {
        return OperatorSignature.parse(header)
                .filter(signature -> isWithinClockTolerance(signature.timeMilliseconds()))
                .filter(signature -> signature.matches(current, method, path, body))
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
