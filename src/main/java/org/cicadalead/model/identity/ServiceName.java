package org.cicadalead.model.identity;

/**
 * Name of a service. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record ServiceName(String value) implements Identifier<ServiceName> {
    /** Validates the text. */
    public ServiceName {
        IdentifierRules.requireValid(value, "service name");
    }

    @Override
    public String toString() {
        return value;
    }
}
