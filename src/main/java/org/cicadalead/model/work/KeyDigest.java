package org.cicadalead.model.work;

/**
 * SHA-256 digest of an account's key. Keys in clear are kept nowhere. Immutable.
 *
 * @param hexadecimal the digest as 64 hexadecimal digits in lower case
 */
public record KeyDigest(String hexadecimal) {
    private static final int DIGEST_DIGITS = 64;
    private static final int IDENTIFIER_DIGITS = 8;

    /** Checks the length. */
    public KeyDigest {
        if (hexadecimal.length() != DIGEST_DIGITS) {
            throw new IllegalArgumentException("A key digest has " + DIGEST_DIGITS + " hexadecimal digits");
        }
    }

    /** Returns the short form by which logs name the key. */
    public String identifier() {
        return hexadecimal.substring(0, IDENTIFIER_DIGITS);
    }

    @Override
    public String toString() {
        return identifier();
    }
}
