package org.cicadalead.adapters.event;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import org.cicadalead.logic.timeline.TimelineExplainer;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.event.EventSeverity;
import org.cicadalead.model.event.TimelineStream;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.EventSink;

/**
 * Keeps the newest events of one process in bounded memory and writes those above severity {@code DETAIL} to the log.
 * Sequence numbers have no gaps, so that a reader can tell how many events were dropped. Thread-safe.
 */
public final class TimelineRecorder implements EventSink {
    /** Number of events that are kept; older ones are dropped. */
    public static final int MAX_EVENTS = 20_000;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ProcessIdentifier process;
    private final ZoneName zone;
    private final LongSupplier currentOffset;
    private final LongSupplier wallClockMilliseconds;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastSequence;

    /** Creates a recorder that reads the offset and the wall clock each time an event is emitted. */
    public TimelineRecorder(
            ProcessIdentifier process, ZoneName zone, LongSupplier currentOffset, LongSupplier wallClockMilliseconds) {
        this.process = process;
        this.zone = zone;
        this.currentOffset = currentOffset;
        this.wallClockMilliseconds = wallClockMilliseconds;
    }

    @Override
    public void emit(EventKind kind, Optional<String> cause, EventDetail... details) {
        Event event = record(kind, cause, details);
        Level level = levelOf(kind.severity());
        LOGGER.at(level).with(EventLogFormatter.EVENT_KEY, event).log("%s", TimelineExplainer.describe(event));
    }

    /** Returns the kept events from a sequence number on, and how many events from that number on were dropped. */
    public synchronized TimelineStream streamFrom(long fromSequence) {
        long oldestSequence =
                events.isEmpty() ? lastSequence + 1 : events.getFirst().sequence();
        List<Event> selectedEvents = new ArrayList<>();
        for (Event event : events) {
            if (event.sequence() >= fromSequence) {
                selectedEvents.add(event);
            }
        }
        return new TimelineStream(
                process, zone, Math.max(0, oldestSequence - Math.max(1, fromSequence)), selectedEvents);
    }

    private synchronized Event record(EventKind kind, Optional<String> cause, EventDetail... details) {
        lastSequence++;
        Event event = new Event(
                process,
                zone,
                lastSequence,
                currentOffset.getAsLong(),
                wallClockMilliseconds.getAsLong(),
                kind,
                cause,
                List.of(details));
        events.addLast(event);
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
        return event;
    }

    private static Level levelOf(EventSeverity severity) {
        return switch (severity) {
            case DETAIL -> Level.FINE;
            case INFORMATION -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }
}
