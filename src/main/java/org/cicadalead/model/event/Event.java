package org.cicadalead.model.event;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * One event of the timeline. Events of one process are ordered by sequence number; events of several processes are
 * ordered by cause and offset, never by wall clock. Immutable.
 *
 * @param process the process that made the decision
 * @param zone the availability zone of the process
 * @param sequence sequence number within the process, from 1, without gaps
 * @param offset offset of the shared state on which the decision was based
 * @param wallClockMilliseconds wall-clock time of the process in milliseconds since 1970, for display only
 * @param kind the kind of the event
 * @param cause the request, job, move, wave or configuration that the event belongs to
 * @param details the named values of the event, in order
 */
public record Event(
        ProcessIdentifier process,
        ZoneName zone,
        long sequence,
        long offset,
        long wallClockMilliseconds,
        EventKind kind,
        Optional<String> cause,
        List<EventDetail> details) {
    /** Copies the list. */
    public Event {
        details = List.copyOf(details);
    }
}
