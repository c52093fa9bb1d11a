package org.cicadalead.logic.work.account;

/** Why a request is rejected by the rules of client accounts. */
public enum RejectionCause {
    /** The queue isn't public and the request carries no key. */
    KEY_MISSING("key-missing"),
    /** No account of the known configuration holds the key. */
    KEY_UNKNOWN("key-unknown"),
    /** An earlier configuration that this process knew held the key; the known one doesn't. */
    KEY_WITHDRAWN("key-withdrawn"),
    /** The known configuration is too old to decide by it; another process may know the newest one. */
    CONFIGURATION_OUTDATED("configuration-outdated"),
    /** The job needs more at the same time than its account may have running. */
    LIMIT_EXCEEDED("limit-exceeded");

    private final String label;

    RejectionCause(String label) {
        this.label = label;
    }

    /** Returns the name in logs and metrics. */
    public String label() {
        return label;
    }

    /** Returns whether the request is rejected because of its key. */
    public boolean isKeyRejected() {
        return this == KEY_MISSING || this == KEY_UNKNOWN || this == KEY_WITHDRAWN;
    }
}
