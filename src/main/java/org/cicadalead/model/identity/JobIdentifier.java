package org.cicadalead.model.identity;

/**
 * Identifier of a long job, which is never reused. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record JobIdentifier(String value) implements Identifier<JobIdentifier> {
    /** Validates the text. */
    public JobIdentifier {
        IdentifierRules.requireValid(value, "job identifier");
    }

    @Override
    public String toString() {
        return value;
    }
}
