package org.cicadalead.adapters.event;

import java.util.Locale;

/** Output formats of the log. */
public enum LogFormat {
    /** Plain text for operators. */
    PLAIN,
    /** One JSON object per line, for programs. */
    JSON;

    /** Returns the format with a label; throws {@link IllegalArgumentException} when there is none. */
    public static LogFormat fromLabel(String label) {
        for (LogFormat format : values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(label)) {
                return format;
            }
        }
        throw new IllegalArgumentException("'" + label + "' is not one of plain, json");
    }
}
