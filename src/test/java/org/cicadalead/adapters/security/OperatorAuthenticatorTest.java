package org.cicadalead.adapters.security;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OperatorAuthenticatorTest {
    private static final SharedKeys KEYS = SharedKeys.of(List.of("0123456789abcdef0123456789abcdef"));
    private static final SharedKeys OTHER_KEYS = SharedKeys.of(List.of("fedcba9876543210fedcba9876543210"));
    private static final byte[] BODY = "{}".getBytes(UTF_8);
    private static final long NOW = 1_800_000_000_000L;

    private final OperatorAuthenticator authenticator = new OperatorAuthenticator(() -> KEYS, () -> NOW);

    @Test
    void acceptsSignedRequestOnlyOnce() {
        Optional<String> signature = sign(KEYS, NOW, "POST", "/moves", BODY);
        assertTrue(authenticator.authenticate("POST", "/moves", signature, BODY));
        assertFalse(authenticator.authenticate("POST", "/moves", signature, BODY));
        assertEquals(1, authenticator.rejectedRequests());
    }

    @Test
    void rejectsSignatureOfOtherKey() {
        assertFalse(authenticator.authenticate("POST", "/moves", sign(OTHER_KEYS, NOW, "POST", "/moves", BODY), BODY));
    }

    @Test
    void rejectsChangedBody() {
        Optional<String> signature = sign(KEYS, NOW, "POST", "/moves", BODY);
        assertFalse(authenticator.authenticate("POST", "/moves", signature, "{ }".getBytes(UTF_8)));
    }

    @Test
    void rejectsSignatureForOtherPath() {
        assertFalse(authenticator.authenticate("POST", "/drain", sign(KEYS, NOW, "POST", "/moves", BODY), BODY));
    }

    @Test
    void rejectsExpiredSignature() {
        long expired = NOW - OperatorAuthenticator.CLOCK_TOLERANCE.toMillis() - 1;
        assertFalse(authenticator.authenticate("POST", "/moves", sign(KEYS, expired, "POST", "/moves", BODY), BODY));
    }

    @Test
    void rejectsUnsignedRequest() {
        assertFalse(authenticator.authenticate("GET", "/status", Optional.empty(), new byte[0]));
    }

    @Test
    void allowsReaderTokenOnlyToRead() {
        Optional<String> token = Optional.of(
                "Bearer " + OperatorSignature.readerToken(KEYS.keys().get(0)));
        assertTrue(authenticator.authenticate("GET", "/metrics", token, new byte[0]));
        assertFalse(authenticator.authenticate("POST", "/moves", token, BODY));
    }

    @Test
    void acceptsUnsignedRequestWithoutKeys() {
        OperatorAuthenticator withoutKeys = new OperatorAuthenticator(SharedKeys::none, () -> NOW);
        assertTrue(withoutKeys.authenticate("POST", "/moves", Optional.empty(), BODY));
    }

    private static Optional<String> sign(SharedKeys keys, long time, String method, String path, byte[] body) {
        return Optional.of(OperatorSignature.sign(keys.keys().get(0), method, path, time, "nonce-0001", body)
                .header());
    }
}
