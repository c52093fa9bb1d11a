package org.cicadalead.model.work;

import java.util.Optional;

/**
 * The jobs that a request may learn of and cancel. Immutable.
 *
 * @param restricted whether jobs of accounts are told to their account only
 * @param account the account of the request; empty for a request of a public queue
 */
public record JobAccess(boolean restricted, Optional<String> account) {
    /** Access to every job, as where the configuration names no accounts. */
    public static final JobAccess UNRESTRICTED = new JobAccess(false, Optional.empty());

    /** Creates the access of a request of an account, or of a public queue if there is none. */
    public static JobAccess of(Optional<String> account) {
        return new JobAccess(true, account);
    }

    /**
     * Returns whether a job is covered, by the account that submitted it. A job without an account is open to all: it
     * was submitted to a public queue, or before the configuration named accounts.
     */
    public boolean covers(Optional<String> owner) {
        return !restricted || owner.isEmpty() || owner.equals(account);
    }
}
