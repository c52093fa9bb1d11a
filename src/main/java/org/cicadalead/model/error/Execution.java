package org.cicadalead.model.error;

/** What is known about whether a request or command took effect. */
public enum Execution {
    /** It did not run and will not run. */
    NOT_RUN("not-run"),
    /** It may have run; it is not sent again unless it is idempotent. */
    UNKNOWN("unknown"),
    /** It ran, and the response is the upstream's. */
    RAN("ran");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /** Returns the label used in responses to callers. */
    public String label() {
        return label;
    }
}
