package org.cicadalead.logic.work.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cicadalead.model.work.KeyDigest;

/**
 * Computes the digests by which keys are stored and compared. As a lookup compares digests, its duration tells nothing
 * of how much of a guessed key is right. Stateless and thread-safe.
 */
public final class KeyDigests {
    private KeyDigests() {}

    /** Returns the digest of a key. */
    public static KeyDigest digest(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("Every Java platform provides SHA-256", impossible);
        }
    }
}
