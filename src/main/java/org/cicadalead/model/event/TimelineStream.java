package org.cicadalead.model.event;

import java.util.List;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * The events of one process that it still keeps. Immutable.
 *
 * @param process the process that emitted the events
 * @param zone the availability zone of the process
 * @param dropped number of requested events that are no longer kept
 * @param events the kept events, ordered by sequence number
 */
public record TimelineStream(ProcessIdentifier process, ZoneName zone, long dropped, List<Event> events) {
    /** Copies the list. */
    public TimelineStream {
        events = List.copyOf(events);
    }
}
