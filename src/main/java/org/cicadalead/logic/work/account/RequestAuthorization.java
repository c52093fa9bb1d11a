package org.cicadalead.logic.work.account;

import java.util.Optional;
import org.cicadalead.model.work.ClientAccount;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.KeyDigest;
import org.cicadalead.model.work.WorkQueue;

/**
 * Decides whether a request may be served, by the key that it carries. Load pattern: every request of every caller,
 * also while keys are withdrawn one after the other from accounts that go on sending; the decision is two lookups.
 * Stateless and thread-safe.
 */
public final class RequestAuthorization {
    private RequestAuthorization() {}

    /**
     * Decides on a request.
     *
     * @param plan the known configuration
     * @param planCurrent whether the known configuration may be decided by
     * @param queue the queue of the request
     * @param key digest of the key of the request
     * @param withdrawnKeys the keys of earlier configurations that this process has known
     */
    public static Decision decide(
            FleetPlan plan,
            boolean planCurrent,
            WorkQueue queue,
            Optional<KeyDigest> key,
            WithdrawnKeys withdrawnKeys) {
        if (plan.accounts().isEmpty()) {
            return new Decision(Optional.empty(), JobAccess.UNRESTRICTED, Optional.empty());
        }
        if (queue.isPublic()) {
            return new Decision(Optional.empty(), JobAccess.of(Optional.empty()), Optional.empty());
        }
        if (key.isEmpty()) {
            return Decision.rejected(RejectionCause.KEY_MISSING);
        }
        if (!planCurrent) {
            return Decision.rejected(RejectionCause.CONFIGURATION_OUTDATED);
        }
        ClientAccounts accounts = plan.accounts().get();
        Optional<ClientAccount> account = accounts.findByKey(key.get());
        if (account.isEmpty()) {
            return Decision.rejected(
                    withdrawnKeys.contains(key.get()) ? RejectionCause.KEY_WITHDRAWN : RejectionCause.KEY_UNKNOWN);
        }
        return new Decision(Optional.empty(), JobAccess.of(account.map(ClientAccount::name)), account);
    }

    /**
     * The decision on a request. Immutable.
     *
     * @param rejection why the request is rejected; empty if it may be served
     * @param access the jobs that the request may learn of, if it is served
     * @param account the account that sent the request; empty for a request that needs no key
     */
    public record Decision(Optional<RejectionCause> rejection, JobAccess access, Optional<ClientAccount> account) {
        static Decision rejected(RejectionCause cause) {
            return new Decision(Optional.of(cause), JobAccess.of(Optional.empty()), Optional.empty());
        }

        /** Returns the name of the account that sent the request. */
        public Optional<String> accountName() {
            return account.map(ClientAccount::name);
        }
    }
}
