package org.cicadalead.model.identity;

/**
 * Name of an availability zone. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record ZoneName(String value) implements Identifier<ZoneName> {
    /** Validates the text. */
    public ZoneName {
        IdentifierRules.requireValid(value, "availability zone name");
    }

    @Override
    public String toString() {
        return value;
    }
}
