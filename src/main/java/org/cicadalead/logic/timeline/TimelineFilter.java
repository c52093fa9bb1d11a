package org.cicadalead.logic.timeline;

import java.util.Optional;
import org.cicadalead.model.event.Event;

/**
 * Selects the events that meet every criterion that is present; an absent criterion accepts all events. Immutable.
 *
 * @param subject a request, job, host, pool, wave or configuration: the event's cause or the value of any detail
 * @param kind name or number of the event kind
 * @param fromOffset minimum offset of the shared state, inclusive
 * @param toOffset maximum offset of the shared state, inclusive
 * @param fromMilliseconds minimum wall-clock time of the process, inclusive, in milliseconds since 1970
 * @param toMilliseconds maximum wall-clock time of the process, inclusive, in milliseconds since 1970
 */
public record TimelineFilter(
        Optional<String> subject,
        Optional<String> kind,
        Optional<Long> fromOffset,
        Optional<Long> toOffset,
        Optional<Long> fromMilliseconds,
        Optional<Long> toMilliseconds) {
    /** Returns a filter that selects all events. */
    public static TimelineFilter all() {
        return new TimelineFilter(
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns a filter that selects the events of one subject. */
    public static TimelineFilter forSubject(String subject) {
        return new TimelineFilter(
                Optional.of(subject),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns whether the filter selects an event. */
    public boolean selects(Event event) {
        return subject.map(subjectName -> refersTo(event, subjectName)).orElse(true)
                && kind.map(kindLabel -> isKind(event, kindLabel)).orElse(true)
                && isWithin(event.offset(), fromOffset, toOffset)
                && isWithin(event.wallClockMilliseconds(), fromMilliseconds, toMilliseconds);
    }

    private static boolean refersTo(Event event, String subjectName) {
        return event.cause().filter(subjectName::equals).isPresent()
                || event.details().stream().anyMatch(detail -> detail.value().equals(subjectName));
    }

    private static boolean isKind(Event event, String kindLabel) {
        return event.kind().name().equalsIgnoreCase(kindLabel.replace('-', '_'))
                || String.valueOf(event.kind().number()).equals(kindLabel);
    }

    private static boolean isWithin(long value, Optional<Long> minimum, Optional<Long> maximum) {
        return minimum.map(bound -> value >= bound).orElse(true)
                && maximum.map(bound -> value <= bound).orElse(true);
    }
}
