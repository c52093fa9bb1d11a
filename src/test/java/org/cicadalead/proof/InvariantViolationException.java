package org.cicadalead.proof;

/** Reports which invariant was violated, and how. */
final class InvariantViolationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String invariant;

    InvariantViolationException(String invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    String invariant() {
        return invariant;
    }
}
