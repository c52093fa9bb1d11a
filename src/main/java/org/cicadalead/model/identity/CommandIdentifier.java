package org.cicadalead.model.identity;

/**
 * Identifier of a command; a command that is appended twice keeps it. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record CommandIdentifier(String value) implements Identifier<CommandIdentifier> {
    /** Checks the text. */
    public CommandIdentifier {
        IdentifierRules.requireValid(value, "command identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
