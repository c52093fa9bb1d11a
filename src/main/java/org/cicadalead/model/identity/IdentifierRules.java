package org.cicadalead.model.identity;

import java.util.regex.Pattern;

/** Validates the text of identifiers. Stateless; safe for use by several threads. */
final class IdentifierRules {
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private IdentifierRules() {}

    static void requireValid(String value, String description) {
        if (!ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException("'" + value + "' is not a valid " + description
                    + ": use 1 to 128 letters, digits, '.', '_', ':' or '-', starting with a letter or digit");
        }
    }
}
