package org.cicadalead.logic.timeline;

import static org.cicadalead.support.Events.event;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TimelineFilterTest {
    private static final Event EVENT = event("a", 1, 10, "wave-1", EventDetail.of("host", "north-1"));

    @ParameterizedTest
    @CsvSource({"wave-1,true", "north-1,true", "north-2,false"})
    void selectsByCauseOrDetail(String subject, boolean isSelected) {
        assertEquals(isSelected, TimelineFilter.forSubject(subject).selects(EVENT));
    }

    @ParameterizedTest
    @CsvSource({"move-started,true", "5101,true", "move-finished,false"})
    void selectsByKindNameOrNumber(String kind, boolean isSelected) {
        TimelineFilter unrestricted = TimelineFilter.all();
        TimelineFilter filter = new TimelineFilter(
                unrestricted.subject(),
                Optional.of(kind),
                unrestricted.fromOffset(),
                unrestricted.toOffset(),
                unrestricted.fromMilliseconds(),
                unrestricted.toMilliseconds());
        assertEquals(isSelected, filter.selects(EVENT));
    }

    @ParameterizedTest
    @CsvSource({"10,10,true", "11,20,false", "1,9,false"})
    void selectsByOffset(long fromOffset, long toOffset, boolean isSelected) {
        TimelineFilter unrestricted = TimelineFilter.all();
        TimelineFilter filter = new TimelineFilter(
                unrestricted.subject(),
                unrestricted.kind(),
                Optional.of(fromOffset),
                Optional.of(toOffset),
                unrestricted.fromMilliseconds(),
                unrestricted.toMilliseconds());
        assertEquals(isSelected, filter.selects(EVENT));
    }
}
