package org.cicadalead.model.identity;

/**
 * Name of a team that owns requests and jobs. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record TeamName(String value) implements Identifier<TeamName> {
    /** Validates the text. */
    public TeamName {
        IdentifierRules.requireValid(value, "team name");
    }

    @Override
    public String toString() {
        return value;
    }
}
