package org.cicadalead.model.identity;

/**
 * Name of a host, unique in the fleet. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record HostName(String value) implements Identifier<HostName> {
    /** Validates the text. */
    public HostName {
        IdentifierRules.requireValid(value, "host name");
    }

    @Override
    public String toString() {
        return value;
    }
}
