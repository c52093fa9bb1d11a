package org.cicadalead.adapters.event;

import java.util.Locale;

/** Forms of the log. */
public enum LogFormat {
    /** Text for people. */
    PLAIN,
    /** One JSON object a line, for programs. */
    JSON;

    /** Finds a form by its word; throws {@link IllegalArgumentException} when there is none. */
    public static LogFormat fromLabel(String label) {
        for (LogFormat format : values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(label)) {
                return format;
            }
        }
        throw new IllegalArgumentException("'" + label + "' is not one of plain, json");
    }
}
