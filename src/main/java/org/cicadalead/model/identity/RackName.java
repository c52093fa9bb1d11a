package org.cicadalead.model.identity;

/**
 * Name of a rack, unique in the fleet; the hosts of a rack fail together. Immutable and safe for use by several
 * threads.
 *
 * @param value the text
 */
public record RackName(String value) implements Identifier<RackName> {
    /** Checks the text. */
    public RackName {
        IdentifierRules.requireValid(value, "rack name");
    }

    @Override
    public String toString() {
        return value;
    }
}
