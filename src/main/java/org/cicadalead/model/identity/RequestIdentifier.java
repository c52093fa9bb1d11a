package org.cicadalead.model.identity;

/**
 * Identifier of one request of a caller, given at admission. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record RequestIdentifier(String value) implements Identifier<RequestIdentifier> {
    /** Checks the text. */
    public RequestIdentifier {
        IdentifierRules.requireValid(value, "request identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
