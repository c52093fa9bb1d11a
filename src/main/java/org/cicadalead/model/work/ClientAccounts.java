package org.cicadalead.model.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one version of the configuration. Immutable.
 *
 * @param byName accounts by name
 * @param nameByKey names of accounts by the digest of each key
 */
public record ClientAccounts(Map<String, ClientAccount> byName, Map<KeyDigest, String> nameByKey) {
    /** Copies the maps. */
    public ClientAccounts {
        byName = Map.copyOf(byName);
        nameByKey = Map.copyOf(nameByKey);
    }

    /** Creates the collection of all accounts of a configuration. */
    public static ClientAccounts of(Collection<ClientAccount> accounts) {
        Map<String, ClientAccount> byName = new HashMap<>();
        Map<KeyDigest, String> nameByKey = new HashMap<>();
        for (ClientAccount account : accounts) {
            byName.put(account.name(), account);
            account.keys().forEach(key -> nameByKey.put(key, account.name()));
        }
        return new ClientAccounts(byName, nameByKey);
    }

    /** Finds the account that holds a key. */
    public Optional<ClientAccount> findByKey(KeyDigest key) {
        return Optional.ofNullable(nameByKey.get(key)).map(byName::get);
    }

    /** Finds an account by its name. */
    public Optional<ClientAccount> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
