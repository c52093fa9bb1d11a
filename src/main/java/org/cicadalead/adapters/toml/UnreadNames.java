package org.cicadalead.adapters.toml;

import java.util.HashSet;
import java.util.Set;

/**
 * Names that stand in a folder but could not be read, because their definition has another error. A reference to one is
 * not an error of its own. Not safe for use by several threads.
 */
final class UnreadNames {
    private final Set<String> names = new HashSet<>();
    private boolean anyName;

    /** Adds a name. */
    void add(String name) {
        names.add(name);
    }

    /** Notes that any name may stand in what could not be read. */
    void addAnyName() {
        anyName = true;
    }

    /** Tells whether a name may stand in what could not be read. */
    boolean mayContain(String name) {
        return anyName || names.contains(name);
    }
}
