package org.cicadalead.adapters.toml;

import java.util.HashSet;
import java.util.Set;

/**
 * Names that are in a configuration folder but whose definitions could not be read because of another error. A
 * reference to such a name is not reported as a further error. Not safe for use by several threads.
 */
final class UnreadNames {
    private final Set<String> names = new HashSet<>();
    private boolean includesAnyName;

    /** Adds a name. */
    void add(String name) {
        names.add(name);
    }

    /** Records that the text that could not be read may contain any name. */
    void addAnyName() {
        includesAnyName = true;
    }

    /** Returns whether the text that could not be read may contain a name. */
    boolean mayContain(String name) {
        return includesAnyName || names.contains(name);
    }
}
