package org.cicadalead.model.identity;

/**
 * Identifier of one process instance of an entry process. A restarted process gets a new identifier. Immutable and safe
 * for use by several threads.
 *
 * @param value the text
 */
public record ProcessIdentifier(String value) implements Identifier<ProcessIdentifier> {
    /** Validates the text. */
    public ProcessIdentifier {
        IdentifierRules.requireValid(value, "process identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
