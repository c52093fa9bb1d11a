package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    /** The lines of queries used up the lines of a second, so that those of a stop were left out. */
    @Test
    void writesStepsOfStopAlthoughManyQueriesAreLogged() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        DecisionLog log = new DecisionLog(output, "process", new WorkMetrics(new SimpleMeterRegistry()));
        for (int number = 0; number < 1_500; number++) {
            log.emit(EventKind.QUEUE_ASKED, EventDetail.of("queue", number));
        }
        log.emit(EventKind.STOP_STEP_COMPLETED, EventDetail.of("step", "DRAIN"));
        log.close();
        String lines = output.toString(StandardCharsets.UTF_8);
        assertTrue(lines.contains("STOP_STEP_COMPLETED"), lines);
    }
}
