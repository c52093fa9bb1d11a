package org.cicadalead.model.identity;

/**
 * Identifier of a maintenance wave. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record WaveIdentifier(String value) implements Identifier<WaveIdentifier> {
    /** Validates the text. */
    public WaveIdentifier {
        IdentifierRules.requireValid(value, "wave identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
