package org.cicadalead.model.work;

import java.util.Set;

/**
 * A client account as the operator configured it. Immutable.
 *
 * @param name name of the account
 * @param keys digests of the keys that its requests may carry
 * @param weight its share of a full service relative to the other accounts, and the number of jobs a second that it is
 *     entitled to submit
 * @param limit capacity that its runs may take together on all hosts; a dimension that is 0 has no limit
 */
public record ClientAccount(String name, Set<KeyDigest> keys, double weight, HostCapacity limit) {
    /** Copies the set. */
    public ClientAccount {
        keys = Set.copyOf(keys);
    }
}
