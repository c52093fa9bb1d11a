package org.cicadalead.model.identity;

/**
 * Identifier of one run of an entry process; a restarted process gets a new one. Immutable and safe for use by several
 * threads.
 *
 * @param value the text
 */
public record ProcessIdentifier(String value) implements Identifier<ProcessIdentifier> {
    /** Checks the text. */
    public ProcessIdentifier {
        IdentifierRules.requireValid(value, "process identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
