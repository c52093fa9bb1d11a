package org.cicadalead.model.event;

import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line that an entry process wrote to its log. Immutable.
 *
 * @param time wall-clock time of the process; processes' clocks differ
 * @param kind name of the event kind, which this version may not know
 * @param process name of the process; empty when the line names none
 * @param details the named values of the event, in order
 */
public record LogLine(Instant time, String kind, String process, Map<String, String> details) {
    /** Copies the map and keeps its order. */
    public LogLine {
        details = Collections.unmodifiableMap(new LinkedHashMap<>(details));
    }

    /** Returns whether the line has a detail with the given name and value. */
    public boolean has(String name, String value) {
        return value.equals(details.get(name));
    }
}
