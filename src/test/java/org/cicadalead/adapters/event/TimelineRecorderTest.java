package org.cicadalead.adapters.event;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.event.TimelineStream;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.junit.jupiter.api.Test;

class TimelineRecorderTest {
    private final TimelineRecorder recorder =
            new TimelineRecorder(new ProcessIdentifier("a"), new ZoneName("north"), () -> 7, () -> 0);

    @Test
    void stampsEventsWithSharedStateOffset() {
        recorder.emit(EventKind.REQUEST_ANSWERED, Optional.empty());
        assertEquals(7, recorder.streamFrom(1).events().get(0).offset());
    }

    @Test
    void reportsNumberOfDroppedEvents() {
        for (int count = 0; count < TimelineRecorder.MAX_EVENTS + 3; count++) {
            recorder.emit(EventKind.REQUEST_ANSWERED, Optional.empty());
        }
        TimelineStream stream = recorder.streamFrom(1);
        assertEquals(3, stream.dropped());
        assertEquals(TimelineRecorder.MAX_EVENTS, stream.events().size());
    }
}
