package org.cicadalead.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that entry processes and operators share: none, one, or two while they are being rotated. Immutable; its
 * text never shows a key.
 */
public final class SharedKeys {
    private static final String ALGORITHM = "HmacSHA256";

    private final List<SecretKeySpec> keys;

    private SharedKeys(List<SecretKeySpec> keys) {
        this.keys = List.copyOf(keys);
    }

    /** Returns no keys: nothing is authenticated, for loopback only. */
    public static SharedKeys none() {
        return new SharedKeys(List.of());
    }

    /** Returns keys of secret texts; the first one is used for what this process starts. */
    public static SharedKeys of(List<String> secrets) {
        return new SharedKeys(secrets.stream()
                .map(secret -> new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM))
                .toList());
    }

    /** Tells whether there are no keys. */
    public boolean isEmpty() {
        return keys.isEmpty();
    }

    List<SecretKeySpec> keys() {
        return keys;
    }

    boolean contains(SecretKeySpec key) {
        return keys.contains(key);
    }

    static Mac mac(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("The JDK lacks " + ALGORITHM, missing);
        }
    }

    static SecretKeySpec derive(SecretKeySpec key, String purpose, byte[]... inputs) {
        return new SecretKeySpec(authenticate(key, purpose, inputs), ALGORITHM);
    }

    static byte[] authenticate(SecretKeySpec key, String purpose, byte[]... inputs) {
        Mac mac = mac(key);
        mac.update(purpose.getBytes(StandardCharsets.UTF_8));
        for (byte[] input : inputs) {
            mac.update((byte) (input.length >>> 8));
            mac.update((byte) input.length);
            mac.update(input);
        }
        return mac.doFinal();
    }

    @Override
    public String toString() {
        return keys.size() + " keys";
    }
}
