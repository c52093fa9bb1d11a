package org.cicadalead.ports;

import java.util.Optional;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/** Receives reported decisions. Implementations are safe for use by several threads and never block. */
@FunctionalInterface
public interface EventSink {
    /** Reports an event; the sink adds process, zone, sequence, offset and clock. */
    void emit(EventKind kind, Optional<String> cause, EventDetail... details);
}
