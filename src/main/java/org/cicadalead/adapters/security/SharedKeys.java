package org.cicadalead.adapters.security;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that entry processes and operators share: none, one, or two while they are being rotated. Immutable.
 * {@link #toString} never reveals a key.
 */
public final class SharedKeys {
    private static final String ALGORITHM = "HmacSHA256";

    private final List<SecretKeySpec> keys;

    private SharedKeys(List<SecretKeySpec> keys) {
        this.keys = List.copyOf(keys);
    }

    /** Returns an empty set of keys: nothing is authenticated, which is meant for loopback addresses only. */
    public static SharedKeys none() {
        return new SharedKeys(List.of());
    }

    /** Returns the keys made from secret texts; this process signs with the first one. */
    public static SharedKeys of(List<String> secrets) {
        return new SharedKeys(secrets.stream()
                .map(secret -> new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM))
                .toList());
    }

    /** Returns whether there are no keys. */
    public boolean isEmpty() {
        return keys.isEmpty();
    }

    /** Returns the keys; the first one is used for signing. */
    public List<SecretKeySpec> keys() {
        return keys;
    }

    /** Returns whether a key is one of these. */
    public boolean contains(SecretKeySpec key) {
        return keys.contains(key);
    }

    /** Creates an HMAC-SHA-256 generator with a key. The generator is for use by one thread. */
    public static Mac createMac(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("The JDK lacks " + ALGORITHM, missing);
        }
    }

    /** Derives a key for one purpose from a key and inputs. */
    public static SecretKeySpec deriveKey(SecretKeySpec key, String purpose, byte[]... inputs) {
        return new SecretKeySpec(computeMac(key, purpose, inputs), ALGORITHM);
    }

    /** Computes the HMAC-SHA-256 code of a purpose and inputs, each prefixed with its length. */
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
