package org.cicadalead.logic.timeline;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventDetail;

/**
 * Selects the events that explain what happened to a subject: the events that refer to it, and the events whose cause
 * is the same as the cause of one of those, such as the wave that drained a host. Stateless and thread-safe.
 */
public final class TimelineExplainer {
    private static final int MAX_SUBJECTS = 20;

    private TimelineExplainer() {}

    /** Returns the events that explain a subject, in the order of the merged timeline. */
    public static List<Event> explain(List<Event> merged, String subject) {
        Set<String> subjects = findRelatedSubjects(merged, subject);
        List<Event> explanation = new ArrayList<>();
        for (Event event : merged) {
            if (subjects.stream().anyMatch(relatedSubject -> isAbout(event, relatedSubject, subject))) {
                explanation.add(event);
            }
        }
        return explanation;
    }

    /** Formats an event as one line with the decision, its cause, its details, the offset, the process and the zone. */
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

    /** Matches related subjects by cause only, so that an explanation does not grow to include the whole fleet. */
    private static boolean isAbout(Event event, String relatedSubject, String subject) {
        if (relatedSubject.equals(subject)) {
            return TimelineFilter.forSubject(subject).selects(event);
        }
        return event.cause().filter(relatedSubject::equals).isPresent();
    }
}
