package org.cicadalead.model.identity;

/**
 * Name of a region, a group of availability zones. Immutable and safe for use by several threads.
 *
 * @param value the text
 */
public record RegionName(String value) implements Identifier<RegionName> {
    /** Validates the text. */
    public RegionName {
        IdentifierRules.requireValid(value, "region name");
    }

    @Override
    public String toString() {
        return value;
    }
}
