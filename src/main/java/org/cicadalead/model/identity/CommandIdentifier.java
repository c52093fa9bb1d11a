package org.cicadalead.model.identity;

/**
 * Identifier of a command. A command that is appended twice has the same identifier in both records. Immutable and safe
 * for use by several threads.
 *
 * @param value the text
 */
public record CommandIdentifier(String value) implements Identifier<CommandIdentifier> {
    /** Validates the text. */
    public CommandIdentifier {
        IdentifierRules.requireValid(value, "command identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
