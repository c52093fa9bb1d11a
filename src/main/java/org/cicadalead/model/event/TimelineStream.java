package org.cicadalead.model.event;

import java.util.List;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * The events that one process still keeps. Immutable.
 *
 * @param process the process
 * @param zone its availability zone
 * @param dropped events that are no longer kept
 * @param events the kept events by sequence
 */
public record TimelineStream(ProcessIdentifier process, ZoneName zone, long dropped, List<Event> events) {
    /** Copies the list. */
    public TimelineStream {
        events = List.copyOf(events);
    }
}
