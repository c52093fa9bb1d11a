package org.cicadalead.model.identity;

/**
 * Identifier of a long job, unique for ever. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record JobIdentifier(String value) implements Identifier<JobIdentifier> {
    /** Checks the text. */
    public JobIdentifier {
        IdentifierRules.requireValid(value, "job identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
