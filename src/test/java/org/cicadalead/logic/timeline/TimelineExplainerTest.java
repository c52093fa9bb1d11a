package org.cicadalead.logic.timeline;

import static org.cicadalead.support.Events.event;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;
import org.junit.jupiter.api.Test;

class TimelineExplainerTest {
    private static final Event WAVE = event("a", 1, 1, "wave-1", EventDetail.of("reason", "firmware"));
    private static final Event DRAIN = event("a", 2, 2, "wave-1", EventDetail.of("host", "north-1"));
    private static final Event OTHER_DRAIN = event("a", 3, 3, "wave-2", EventDetail.of("host", "north-2"));

    @Test
    void explainsHostByEventsOfItsCause() {
        assertEquals(List.of(WAVE, DRAIN), TimelineExplainer.explain(List.of(WAVE, DRAIN, OTHER_DRAIN), "north-1"));
    }

    @Test
    void describesZoneAndOffsetOfDecision() {
        assertEquals(
                "5101 A host was withdrawn from its pool [wave-1] host=north-1 (offset 2, process a in north)",
                TimelineExplainer.describe(DRAIN));
    }
}
