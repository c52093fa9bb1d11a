package org.cicadalead.logic.work.account;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.KeyDigest;

/**
 * The keys that earlier configurations held and the newest one doesn't, for telling operators why a key is rejected. It
 * decides on no request. Bounded: the keys withdrawn longest ago are left out. Immutable.
 */
public final class WithdrawnKeys {
    /** No keys. */
    public static final WithdrawnKeys NONE = new WithdrawnKeys(Set.of());

    /** Maximum number of keys: 10 times the keys of 100 accounts, which is a few hundred kilobytes. */
    private static final int MAX_KEYS = 1_000;

    private final Set<KeyDigest> keys;

    private WithdrawnKeys(Set<KeyDigest> keys) {
        this.keys = keys;
    }

    /** Returns the keys after a configuration has replaced another one. */
    public WithdrawnKeys afterChange(Optional<ClientAccounts> earlier, Optional<ClientAccounts> later) {
        Set<KeyDigest> laterKeys =
                later.map(accounts -> accounts.nameByKey().keySet()).orElse(Set.of());
        Set<KeyDigest> changed = new LinkedHashSet<>(keys);
        earlier.ifPresent(accounts -> changed.addAll(accounts.nameByKey().keySet()));
        changed.removeAll(laterKeys);
        while (changed.size() > MAX_KEYS) {
            changed.remove(changed.iterator().next());
        }
        return new WithdrawnKeys(changed);
    }

    /** Returns whether a key was withdrawn. */
    public boolean contains(KeyDigest key) {
        return keys.contains(key);
    }
}
