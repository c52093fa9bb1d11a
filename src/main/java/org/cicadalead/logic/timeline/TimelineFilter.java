package org.cicadalead.logic.timeline;

import java.util.Optional;
import org.cicadalead.model.event.Event;

/**
 * Selects events; a part that is absent selects all. Immutable.
 *
 * @param subject a request, job, host, pool, wave or configuration: the event's cause or the value of any detail
 * @param kind name or number of the event kind
 * @param fromOffset least offset of the shared state
 * @param toOffset greatest offset of the shared state
 * @param fromMilliseconds least wall clock of the process, in milliseconds since 1970
 * @param toMilliseconds greatest wall clock of the process, in milliseconds since 1970
 */
public record TimelineFilter(
        Optional<String> subject,
        Optional<String> kind,
        Optional<Long> fromOffset,
        Optional<Long> toOffset,
        Optional<Long> fromMilliseconds,
        Optional<Long> toMilliseconds) {
    /** Returns a filter that selects everything. */
    public static TimelineFilter all() {
        return new TimelineFilter(
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns a filter for one subject. */
    public static TimelineFilter forSubject(String subject) {
        return new TimelineFilter(
                Optional.of(subject),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    /** Tells whether an event is selected. */
    public boolean selects(Event event) {
        return subject.map(name -> refersTo(event, name)).orElse(true)
                && kind.map(name -> isKind(event, name)).orElse(true)
                && isWithin(event.offset(), fromOffset, toOffset)
                && isWithin(event.wallClockMilliseconds(), fromMilliseconds, toMilliseconds);
    }

    private static boolean refersTo(Event event, String name) {
        return event.cause().filter(name::equals).isPresent()
                || event.details().stream().anyMatch(detail -> detail.value().equals(name));
    }

    private static boolean isKind(Event event, String name) {
        return event.kind().name().equalsIgnoreCase(name.replace('-', '_'))
                || String.valueOf(event.kind().number()).equals(name);
    }

    private static boolean isWithin(long value, Optional<Long> least, Optional<Long> greatest) {
        return least.map(bound -> value >= bound).orElse(true)
                && greatest.map(bound -> value <= bound).orElse(true);
    }
}
