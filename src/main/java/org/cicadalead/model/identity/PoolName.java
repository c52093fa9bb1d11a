package org.cicadalead.model.identity;

/**
 * Name of a pool of hosts. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record PoolName(String value) implements Identifier<PoolName> {
    /** Validates the text. */
    public PoolName {
        IdentifierRules.requireValid(value, "pool name");
    }

    @Override
    public String toString() {
        return value;
    }
}
