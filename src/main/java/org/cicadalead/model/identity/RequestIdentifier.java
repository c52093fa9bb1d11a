package org.cicadalead.model.identity;

/**
 * Identifier of one request of a caller, assigned at admission. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record RequestIdentifier(String value) implements Identifier<RequestIdentifier> {
    /** Validates the text. */
    public RequestIdentifier {
        IdentifierRules.requireValid(value, "request identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
