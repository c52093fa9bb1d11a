package org.cicadalead.logic.timeline;

import static org.cicadalead.support.Events.event;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.TimelineStream;
import org.junit.jupiter.api.Test;

class TimelineMergerTest {
    @Test
    void keepsOrderWithinProcess() {
        TimelineStream first = stream(event("a", 1, 5, "x"), event("a", 2, 5, "y"));
        assertEquals(List.of("a1", "a2"), mergeToLabels(first));
    }

    @Test
    void ordersByOffsetAcrossProcesses() {
        TimelineStream laterStream = stream(event("a", 1, 7, "x"));
        TimelineStream earlierStream = stream(event("b", 1, 3, "x"), event("b", 2, 9, "x"));
        assertEquals(List.of("b1", "a1", "b2"), mergeToLabels(laterStream, earlierStream));
    }

    @Test
    void groupsEventsOfOneCauseAtSameOffset() {
        TimelineStream first = stream(event("a", 1, 5, "x"), event("a", 2, 5, "y"));
        TimelineStream second = stream(event("b", 1, 5, "x"));
        assertEquals(List.of("a1", "b1", "a2"), mergeToLabels(first, second));
    }

    private static TimelineStream stream(Event... events) {
        return new TimelineStream(events[0].process(), events[0].zone(), 0, List.of(events));
    }

    private static List<String> mergeToLabels(TimelineStream... streams) {
        return TimelineMerger.merge(List.of(streams)).stream()
                .map(event -> event.process().value() + event.sequence())
                .toList();
    }
}
