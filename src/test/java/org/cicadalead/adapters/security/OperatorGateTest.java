package org.cicadalead.adapters.security;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OperatorGateTest {
    private static final SharedKeys KEYS = SharedKeys.of(List.of("0123456789abcdef0123456789abcdef"));
    private static final SharedKeys OTHER_KEYS = SharedKeys.of(List.of("fedcba9876543210fedcba9876543210"));
    private static final byte[] BODY = "{}".getBytes(UTF_8);
    private static final long NOW = 1_800_000_000_000L;

    private final OperatorGate gate = new OperatorGate(() -> KEYS, () -> NOW);

    @Test
    void takesASignedRequestOnce() {
        Optional<String> signature = signature(KEYS, NOW, "POST", "/moves", BODY);
        assertTrue(gate.admits("POST", "/moves", signature, BODY));
        assertFalse(gate.admits("POST", "/moves", signature, BODY));
        assertEquals(1, gate.refusals());
    }

    @Test
    void refusesASignatureOfAnotherKey() {
        assertFalse(gate.admits("POST", "/moves", signature(OTHER_KEYS, NOW, "POST", "/moves", BODY), BODY));
    }

    @Test
    void refusesAChangedBody() {
        Optional<String> signature = signature(KEYS, NOW, "POST", "/moves", BODY);
        assertFalse(gate.admits("POST", "/moves", signature, "{ }".getBytes(UTF_8)));
    }

    @Test
    void refusesASignatureOfAnotherPath() {
        assertFalse(gate.admits("POST", "/drain", signature(KEYS, NOW, "POST", "/moves", BODY), BODY));
    }

    @Test
    void refusesAnOldSignature() {
        long old = NOW - OperatorGate.TOLERANCE.toMillis() - 1;
        assertFalse(gate.admits("POST", "/moves", signature(KEYS, old, "POST", "/moves", BODY), BODY));
    }

    @Test
    void refusesARequestWithoutASignature() {
        assertFalse(gate.admits("GET", "/status", Optional.empty(), new byte[0]));
    }

    @Test
    void letsAReaderReadAndDoNothingElse() {
        Optional<String> token = Optional.of(
                "Bearer " + OperatorSignature.readerToken(KEYS.keys().get(0)));
        assertTrue(gate.admits("GET", "/metrics", token, new byte[0]));
        assertFalse(gate.admits("POST", "/moves", token, BODY));
    }

    @Test
    void takesEverythingWithoutKeys() {
        OperatorGate open = new OperatorGate(SharedKeys::none, () -> NOW);
        assertTrue(open.admits("POST", "/moves", Optional.empty(), BODY));
    }

    private static Optional<String> signature(SharedKeys keys, long time, String method, String path, byte[] body) {
        return Optional.of(OperatorSignature.sign(keys.keys().get(0), method, path, time, "nonce-0001", body)
                .header());
    }
}
