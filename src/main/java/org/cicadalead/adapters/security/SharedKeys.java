package org.cicadalead.adapters.security;

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

    /** Returns keys of secret texts; the first one is used for what this process signs. */
    public static SharedKeys of(List<String> secrets) {
        return new SharedKeys(secrets.stream()
                .map(secret -> new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM))
                .toList());
    }

    /** Tells whether there are no keys. */
    public boolean isEmpty() {
        return keys.isEmpty();
    }

    /** Returns the keys, the one to sign with first. */
    public List<SecretKeySpec> keys() {
        return keys;
    }

    /** Tells whether a key is one of these. */
    public boolean contains(SecretKeySpec key) {
        return keys.contains(key);
    }

    /** Returns a code generator of a key; for use by one thread. */
    public static Mac createMac(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("The JDK lacks " + ALGORITHM, missing);
        }
    }

    /** Returns a key for one purpose and given inputs. */
    public static SecretKeySpec deriveKey(SecretKeySpec key, String purpose, byte[]... inputs) {
        return new SecretKeySpec(computeMac(key, purpose, inputs), ALGORITHM);
    }

    /** Returns the HMAC-SHA-256 code of inputs, each with its length, for one purpose. */
    public static byte[] computeMac(SecretKeySpec key, String purpose, byte[]... inputs) {
        Mac mac = createMac(key);
        updateWithLength(mac, purpose.getBytes(StandardCharsets.UTF_8));
        for (byte[] input : inputs) {
            updateWithLength(mac, input);
        }
        return mac.doFinal();
    }

    private static void updateWithLength(Mac mac, byte[] input) {
        mac.update(java.nio.ByteBuffer.allocate(Integer.BYTES).putInt(0, input.length));
        mac.update(input);
    }

    @Override
    public String toString() {
        return keys.size() + " keys";
    }
}
