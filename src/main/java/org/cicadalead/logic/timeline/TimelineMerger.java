package org.cicadalead.logic.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.TimelineStream;

/**
 * Merges the streams of several processes into one order. Within a process the order is the sequence; between processes
 * an event that was decided on an earlier offset of the shared state comes first. Events on the same offset are kept
 * together by cause, and otherwise ordered by process. Wall clocks play no part, as they differ between hosts.
 * Stateless; safe for use by several threads.
 */
public final class TimelineMerger {
    private TimelineMerger() {}

    /** Merges streams; each must be ordered by sequence, on which the offset never decreases. */
    public static List<Event> merge(List<TimelineStream> streams) {
        List<Deque<Event>> remaining = new ArrayList<>();
        for (TimelineStream stream : streams) {
            remaining.add(new ArrayDeque<>(stream.events()));
        }
        List<Event> merged = new ArrayList<>();
        Optional<String> currentCause = Optional.empty();
        Optional<Deque<Event>> next = findNextStream(remaining, currentCause);
        while (next.isPresent()) {
            Event event = next.get().removeFirst();
            merged.add(event);
            currentCause = event.cause();
            next = findNextStream(remaining, currentCause);
        }
        return merged;
    }

    private static Optional<Deque<Event>> findNextStream(List<Deque<Event>> remaining, Optional<String> currentCause) {
        Comparator<Deque<Event>> byOffset =
                Comparator.comparingLong(stream -> stream.getFirst().offset());
        Comparator<Deque<Event>> byCause = Comparator.comparing(stream -> !startsWithCause(stream, currentCause));
        Comparator<Deque<Event>> byProcess =
                Comparator.comparing(stream -> stream.getFirst().process());
        return remaining.stream()
                .filter(stream -> !stream.isEmpty())
                .min(byOffset.thenComparing(byCause).thenComparing(byProcess));
    }

    private static boolean startsWithCause(Deque<Event> stream, Optional<String> currentCause) {
        return currentCause.isPresent() && stream.getFirst().cause().equals(currentCause);
    }
}
