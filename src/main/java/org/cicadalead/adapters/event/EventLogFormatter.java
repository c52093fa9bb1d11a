package org.cicadalead.adapters.event;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.MetadataKey;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.time.Instant;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;

/** Formats each log record as one line of plain text or JSON. Immutable and thread-safe. */
public final class EventLogFormatter extends Formatter {
    /** Key under which a log record carries its event. */
    static final MetadataKey<Event> EVENT_KEY = MetadataKey.single("event", Event.class);

    private final LogFormat format;

    /** Creates a formatter for one log format. */
    public EventLogFormatter(LogFormat format) {
        this.format = format;
    }

    @Override
    public String format(LogRecord logRecord) {
        return switch (format) {
            case PLAIN -> formatPlain(logRecord);
            case JSON -> formatJson(logRecord);
        };
    }

    private String formatPlain(LogRecord logRecord) {
        String message = findEvent(logRecord)
                .map(org.cicadalead.logic.timeline.TimelineExplainer::describe)
                .orElseGet(() -> formatMessage(logRecord));
        return logRecord.getInstant() + " " + logRecord.getLevel() + " " + message + formatFailure(logRecord) + "\n";
    }

    private String formatJson(LogRecord logRecord) {
        ObjectNode line = JsonNodeFactory.instance.objectNode();
        Instant time = logRecord.getInstant();
        line.put("time", time.toString());
        line.put("level", logRecord.getLevel().getName());
        Optional<Event> event = findEvent(logRecord);
        if (event.isPresent()) {
            addEvent(line, event.get());
        } else {
            line.put("message", formatMessage(logRecord) + formatFailure(logRecord));
        }
        return line + "\n";
    }

    private static void addEvent(ObjectNode line, Event event) {
        line.put("number", event.kind().number());
        line.put("kind", event.kind().name());
        line.put("message", event.kind().summary());
        line.put("process", event.process().value());
        line.put("zone", event.zone().value());
        line.put("sequence", event.sequence());
        line.put("offset", event.offset());
        event.cause().ifPresent(cause -> line.put("cause", cause));
        ObjectNode details = line.putObject("details");
        for (EventDetail detail : event.details()) {
            details.put(detail.name(), detail.value());
        }
    }

    private static Optional<Event> findEvent(LogRecord logRecord) {
        if (logRecord instanceof AbstractLogRecord floggerRecord) {
            return Optional.ofNullable(floggerRecord.getLogData().getMetadata().findValue(EVENT_KEY));
        }
        return Optional.empty();
    }

    private static String formatFailure(LogRecord logRecord) {
        return logRecord.getThrown() == null ? "" : " failure=" + logRecord.getThrown();
    }
}
