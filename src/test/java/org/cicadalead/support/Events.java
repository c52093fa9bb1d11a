package org.cicadalead.support;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/** Builds events for tests. */
public final class Events {
    private Events() {}

    public static Event event(String process, long sequence, long offset, String cause, EventDetail... details) {
        return new Event(
                new ProcessIdentifier(process),
                new ZoneName("north"),
                sequence,
                offset,
                0,
                EventKind.MOVE_STARTED,
                Optional.of(cause),
                List.of(details));
    }
}
