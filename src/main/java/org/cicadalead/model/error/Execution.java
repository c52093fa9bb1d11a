package org.cicadalead.model.error;

/** What is known about whether a request or command took effect. */
public enum Execution {
    /** It truly did not run, and will not. */
    NOT_RUN("not-run"),
    /** It may have run; it is not sent again unless it is idempotent. */
    UNKNOWN("unknown"),
    /** It ran, and the answer is the upstream's. */
    RAN("ran");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /** Returns the word used in answers to callers. */
    public String label() {
        return label;
    }
}
