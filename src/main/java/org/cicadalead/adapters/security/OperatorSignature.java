package org.cicadalead.adapters.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.spec.SecretKeySpec;

/**
 * The signature of an operator's request: an HMAC-SHA-256 code over method, path, time, a number used once and the
 * digest of the body, in the header {@code Authorization}. Immutable.
 *
 * @param timeMilliseconds the signer's wall clock, in milliseconds since 1970
 * @param nonce a text used once
 * @param code the code in hexadecimal
 */
public record OperatorSignature(long timeMilliseconds, String nonce, String code) {
    private static final String SIGNATURE_PURPOSE = "cicadalead-operator-request";
    private static final String READER_TOKEN_PURPOSE = "cicadalead-operator-reader";
    private static final Pattern HEADER =
            Pattern.compile("Cicadalead time=([0-9]{1,15}), nonce=([0-9a-zA-Z-]{8,64}), code=([0-9a-f]{64})");

    /** Signs a request. */
    public static OperatorSignature sign(
            SecretKeySpec key, String method, String path, long timeMilliseconds, String nonce, byte[] body) {
        byte[] code = SharedKeys.computeMac(
                key,
                SIGNATURE_PURPOSE,
                toUtf8(method),
                toUtf8(path),
                toUtf8(timeMilliseconds + "/" + nonce),
                digest(body));
        return new OperatorSignature(timeMilliseconds, nonce, HexFormat.of().formatHex(code));
    }

    /** Reads a header; empty when it is no signature. */
    public static Optional<OperatorSignature> parse(String header) {
        Matcher matcher = HEADER.matcher(header);
        return matcher.matches()
                ? Optional.of(
                        new OperatorSignature(Long.parseLong(matcher.group(1)), matcher.group(2), matcher.group(3)))
                : Optional.empty();
    }

    /** Tells whether one of the keys made this signature for a request. */
    public boolean matches(SharedKeys keys, String method, String path, byte[] body) {
        boolean matched = false;
        for (SecretKeySpec key : keys.keys()) {
            OperatorSignature expected = sign(key, method, path, timeMilliseconds, nonce, body);
            matched |= MessageDigest.isEqual(toUtf8(expected.code()), toUtf8(code));
        }
        return matched;
    }

    /** Returns the value of the header {@code Authorization}. */
    public String header() {
        return "Cicadalead time=" + timeMilliseconds + ", nonce=" + nonce + ", code=" + code;
    }

    /** Returns the token with which a monitoring system may read, and do nothing else. */
    public static String readerToken(SecretKeySpec key) {
        return HexFormat.of().formatHex(SharedKeys.computeMac(key, READER_TOKEN_PURPOSE));
    }

    /** Tells whether a header carries the reader's token of one of the keys. */
    public static boolean isReaderToken(SharedKeys keys, String header) {
        boolean matched = false;
        for (SecretKeySpec key : keys.keys()) {
            matched |= MessageDigest.isEqual(toUtf8("Bearer " + readerToken(key)), toUtf8(header));
        }
        return matched;
    }

    private static byte[] digest(byte[] body) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(body);
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("The JDK lacks SHA-256", missing);
        }
    }

    private static byte[] toUtf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
