package org.cicadalead.logic.timeline;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;

/**
 * Explains what happened to a subject: its own events, and the events of whatever those name as their cause, such as
 * the wave behind a host's drain. Stateless; safe for use by several threads.
 */
public final class TimelineExplainer {
    private static final int MAX_SUBJECTS = 20;

    private TimelineExplainer() {}

    /** Returns the events that explain a subject, in the order of the merged time line. */
    public static List<Event> explain(List<Event> merged, String subject) {
        Set<String> subjects = findRelatedSubjects(merged, subject);
        List<Event> explanation = new ArrayList<>();
        for (Event event : merged) {
            if (subjects.stream().anyMatch(name -> isAbout(event, name, subject))) {
                explanation.add(event);
            }
        }
        return explanation;
    }

    /** Returns an event as one line that says what was decided, where, on which offset and why. */
    public static String describe(Event event) {
        StringBuilder line = new StringBuilder();
        line.append(event.kind().number()).append(' ').append(event.kind().summary());
        event.cause().ifPresent(cause -> line.append(" [").append(cause).append(']'));
        for (EventDetail detail : event.details()) {
            line.append(' ').append(detail.name()).append('=').append(detail.value());
        }
        line.append(" (offset ").append(event.offset()).append(", process ").append(event.process());
        return line.append(" in ").append(event.zone()).append(')').toString();
    }

    private static Set<String> findRelatedSubjects(List<Event> merged, String subject) {
        Set<String> subjects = new LinkedHashSet<>();
        subjects.add(subject);
        TimelineFilter filter = TimelineFilter.forSubject(subject);
        for (Event event : merged) {
            if (subjects.size() < MAX_SUBJECTS && filter.selects(event)) {
                event.cause().ifPresent(subjects::add);
            }
        }
        return subjects;
    }

    /** A related subject counts by its cause only, so that an explanation does not spread over the whole fleet. */
    private static boolean isAbout(Event event, String name, String subject) {
        if (name.equals(subject)) {
            return TimelineFilter.forSubject(subject).selects(event);
        }
        return event.cause().filter(name::equals).isPresent();
    }
}
