package org.cicadalead.adapters.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.junit.jupiter.api.Test;

class EventLogFormatterTest {
    @Test
    void writesEventAsJsonObjectWithNumberAndDetails() throws Exception {
        JsonNode line = new ObjectMapper().readTree(new EventLogFormatter(LogFormat.JSON).format(captureLogRecord()));
        assertEquals(EventKind.INTERNAL_FAILURE.number(), line.path("number").asInt());
        assertEquals("disk", line.path("details").path("part").asText());
    }

    @Test
    void writesEventAsPlainLine() {
        String line = new EventLogFormatter(LogFormat.PLAIN).format(captureLogRecord());
        assertTrue(line.contains(EventKind.INTERNAL_FAILURE.number() + " "));
        assertTrue(line.endsWith("\n"));
    }

    private static LogRecord captureLogRecord() {
        List<LogRecord> records = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord logRecord) {
                records.add(logRecord);
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger logger = Logger.getLogger(TimelineRecorder.class.getName());
        logger.addHandler(handler);
        logger.setUseParentHandlers(false);
        try {
            new TimelineRecorder(new ProcessIdentifier("a"), new ZoneName("north"), () -> 1, () -> 0)
                    .emit(EventKind.INTERNAL_FAILURE, Optional.empty(), EventDetail.of("part", "disk"));
        } finally {
            logger.removeHandler(handler);
            logger.setUseParentHandlers(true);
        }
        return records.get(0);
    }
}
