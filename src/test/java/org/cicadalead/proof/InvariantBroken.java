package org.cicadalead.proof;

/** Says which invariant broke, and how. */
final class InvariantBroken extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String invariant;

    InvariantBroken(String invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    String invariant() {
        return invariant;
    }
}
