package org.cicadalead.model.event;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * One entry of the time line. Entries of one process are ordered by sequence; entries of several by cause and offset,
 * never by wall clock. Immutable.
 *
 * @param process the process that decided
 * @param zone its availability zone
 * @param sequence number within the process, from 1, without gaps
 * @param offset offset of the shared state that the decision was made on
 * @param wallClockMilliseconds the process's clock, for display only
 * @param kind the kind
 * @param cause what it belongs to: a request, job, move, wave or configuration
 * @param details named values, in order
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
