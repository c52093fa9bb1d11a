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
public final class OperatorGate {
    /** How far a signer's clock may be off. */
    public static final Duration TOLERANCE = Duration.ofMinutes(2);

    private static final int MAXIMUM_NONCES = 50_000;
    private static final String READING = "GET";

    private final Supplier<SharedKeys> keys;
    private final LongSupplier wallClockMilliseconds;
    private final Map<String, Long> usedNonces = new ConcurrentHashMap<>();
    private final LongAdder refusals = new LongAdder();

    /** Creates a gate on the keys in force and a wall clock. */
    public OperatorGate(Supplier<SharedKeys> keys, LongSupplier wallClockMilliseconds) {
        this.keys = keys;
        this.wallClockMilliseconds = wallClockMilliseconds;
    }

    /** Tells whether a request is taken; a signature that it carries is used up. */
    public boolean admits(String method, String path, Optional<String> authorization, byte[] body) {
        SharedKeys current = keys.get();
        boolean admitted = current.isEmpty()
                || authorization
                        .filter(header ->
                                isReader(current, method, header) || isSigned(current, method, path, header, body))
                        .isPresent();
        if (!admitted) {
            refusals.increment();
        }
        return admitted;
    }

    /** Tells whether requests have to be signed. */
    public boolean isClosed() {
        return !keys.get().isEmpty();
    }

    /** Returns the number of requests that were not taken. */
    public long refusals() {
        return refusals.sum();
    }

    private static boolean isReader(SharedKeys current, String method, String header) {
        return method.equals(READING) && OperatorSignature.isReader(current, header);
    }

    private boolean isSigned(SharedKeys current, String method, String path, String header, byte[] body) {
        return OperatorSignature.parse(header)
                .filter(signature -> isTimely(signature.timeMilliseconds()))
                .filter(signature -> signature.matches(current, method, path, body))
                .filter(this::isFirstUse)
                .isPresent();
    }

    private boolean isTimely(long signedAt) {
        return Math.abs(wallClockMilliseconds.getAsLong() - signedAt) <= TOLERANCE.toMillis();
    }

    private boolean isFirstUse(OperatorSignature signature) {
        long now = wallClockMilliseconds.getAsLong();
        if (usedNonces.size() >= MAXIMUM_NONCES) {
            usedNonces.values().removeIf(signedAt -> now - signedAt > TOLERANCE.toMillis());
        }
        return usedNonces.size() < MAXIMUM_NONCES
                && usedNonces.putIfAbsent(signature.nonce(), signature.timeMilliseconds()) == null;
    }
}
