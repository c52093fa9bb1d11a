package org.cicadalead.model.identity;

/**
 * Name of a rack, unique in the fleet. A rack is a failure domain: its hosts can fail together. Immutable and safe for
 * use by several threads.
 *
 * @param value the text
 */
public record RackName(String value) implements Identifier<RackName> {
    /** Validates the text. */
    public RackName {
        IdentifierRules.requireValid(value, "rack name");
    }

    @Override
    public String toString() {
        return value;
    }
}
