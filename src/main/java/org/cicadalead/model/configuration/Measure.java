package org.cicadalead.model.configuration;

import java.util.Optional;

/** The three measures that the planners of a deployment optimize. */
public enum Measure {
    /** Spare capacity reserved to meet availability budgets, in idle host-hours. */
    BUFFER_COST("buffer-cost"),
    /** Time until a change of the configuration or the pools is complete. */
    ROLL_OUT_TIME("roll-out-time"),
    /** Number of hosts that change pool. */
    MOVES("moves");

    private final String label;

    Measure(String label) {
        this.label = label;
    }

    /** Returns the word used in configuration files. */
    public String label() {
        return label;
    }

    /** Returns the measure with a label, or empty when there is none. */
    public static Optional<Measure> fromLabel(String label) {
        for (Measure measure : values()) {
            if (measure.label.equals(label)) {
                return Optional.of(measure);
            }
        }
        return Optional.empty();
    }
}
