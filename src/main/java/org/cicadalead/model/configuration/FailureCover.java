package org.cicadalead.model.configuration;

import java.util.Optional;

/** The largest correlated failure that a service's availability budget must tolerate without notice. */
public enum FailureCover {
    /** No failure is covered; only hosts that are already unavailable count. */
    NONE("none"),
    /** The failure of any one host. */
    HOST("host"),
    /** The failure of any one rack. */
    RACK("rack");

    private final String label;

    FailureCover(String label) {
        this.label = label;
    }

    /** Returns the word used in configuration files. */
    public String label() {
        return label;
    }

    /** Returns the cover with a label, or empty when there is none. */
    public static Optional<FailureCover> fromLabel(String label) {
        for (FailureCover cover : values()) {
            if (cover.label.equals(label)) {
                return Optional.of(cover);
            }
        }
        return Optional.empty();
    }
}
