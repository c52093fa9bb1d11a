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
 * The signature of an operator's request: an HMAC-SHA-256 code over the method, the path, the time, a nonce and the
 * digest of the body. It is sent in the header {@code Authorization}. Immutable.
 *
 * @param timeMilliseconds the signer's wall clock, in milliseconds since 1970
 * @param nonce a text that the signer uses only once
 * @param code the HMAC in hexadecimal
 */
public record OperatorSignature(long timeMilliseconds, String nonce, String code) {
    private static final String SIGNATURE_PURPOSE = "cicadalead-operator-request";
    private static final String READER_TOKEN_PURPOSE = "cicadalead-operator-reader";
    private static final Pattern HEADER =
            Pattern.compile("Cicadalead time=([0-9]{1,15}), nonce=([0-9a-zA-Z-]{8,64}), code=([0-9a-f]{64})");

    /** Creates the signature of a request. */
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

    /** Parses the value of a header; returns empty when it is not a signature. */
    public static Optional<OperatorSignature> parse(String header) {
        Matcher matcher = HEADER.matcher(header);
        return matcher.matches()
                ? Optional.of(
                        new OperatorSignature(Long.parseLong(matcher.group(1)), matcher.group(2), matcher.group(3)))
                : Optional.empty();
    }

    /** Returns whether this is the signature of a request with one of the keys; compares in constant time. */
    public boolean matches(SharedKeys keys, String method, String path, byte[] body) {
        boolean hasMatch = false;
        for (SecretKeySpec key : keys.keys()) {
            OperatorSignature expected = sign(key, method, path, timeMilliseconds, nonce, body);
            hasMatch |= MessageDigest.isEqual(toUtf8(expected.code()), toUtf8(code));
        }
        return hasMatch;
    }

    /** Returns the value of the header {@code Authorization}. */
    public String header() {
        return "Cicadalead time=" + timeMilliseconds + ", nonce=" + nonce + ", code=" + code;
    }

    /** Returns the token that allows a monitoring system to read, and nothing else. */
    public static String readerToken(SecretKeySpec key) {
        return HexFormat.of().formatHex(SharedKeys.computeMac(key, READER_TOKEN_PURPOSE));
    }

    /** Returns whether a header carries the reader token of one of the keys; compares in constant time. */
    public static boolean isReaderToken(SharedKeys keys, String header) {
        boolean hasMatch = false;
        for (SecretKeySpec key : keys.keys()) {
            hasMatch |= MessageDigest.isEqual(toUtf8("Bearer " + readerToken(key)), toUtf8(header));
        }
        return hasMatch;
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
