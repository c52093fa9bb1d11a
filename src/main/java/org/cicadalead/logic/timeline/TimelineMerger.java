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
 * Merges the event streams of several processes into one order. Events of one process are ordered by sequence number;
 * events of different processes are ordered by the offset of the shared state on which they were decided. Events on the
 * same offset are grouped by cause, and otherwise ordered by process. Wall clocks are ignored, because they differ
 * between hosts. Stateless and thread-safe.
 */
public final class TimelineMerger {
    private TimelineMerger() {}

    /** Merges streams. Each stream must be ordered by sequence number, and its offsets must never decrease. */
    public static List<Event> merge(List<TimelineStream> streams) {
        List<Deque<Event>> remainingStreams = new ArrayList<>();
        for (TimelineStream stream : streams) {
            remainingStreams.add(new ArrayDeque<>(stream.events()));
        }
        List<Event> merged = new ArrayList<>();
        Optional<String> currentCause = Optional.empty();
        Optional<Deque<Event>> nextStream = findNextStream(remainingStreams, currentCause);
        while (nextStream.isPresent()) {
            Event event = nextStream.get().removeFirst();
            merged.add(event);
            currentCause = event.cause();
            nextStream = findNextStream(remainingStreams, currentCause);
        }
        return merged;
    }

    private static Optional<Deque<Event>> findNextStream(
            List<Deque<Event>> remainingStreams, Optional<String> currentCause) {
        Comparator<Deque<Event>> byOffset =
                Comparator.comparingLong(stream -> stream.getFirst().offset());
        Comparator<Deque<Event>> byCause = Comparator.comparing(stream -> !startsWithCause(stream, currentCause));
        Comparator<Deque<Event>> byProcess =
                Comparator.comparing(stream -> stream.getFirst().process());
        return remainingStreams.stream()
                .filter(stream -> !stream.isEmpty())
                .min(byOffset.thenComparing(byCause).thenComparing(byProcess));
    }

    private static boolean startsWithCause(Deque<Event> stream, Optional<String> currentCause) {
        return currentCause.isPresent() && stream.getFirst().cause().equals(currentCause);
    }
}
