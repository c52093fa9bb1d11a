package org.cicadalead.model.configuration;

import java.util.Optional;

/** The three measures that a deployment weighs. */
public enum Measure {
    /** Spare capacity held back to keep promises, in idle host-hours. */
    BUFFER_COST("buffer-cost"),
    /** Time that a change of configuration or pools takes to finish. */
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

    /** Finds a measure by its word. */
    public static Optional<Measure> fromLabel(String label) {
        for (Measure measure : values()) {
            if (measure.label.equals(label)) {
                return Optional.of(measure);
            }
        }
        return Optional.empty();
    }
}
