package org.cicadalead.logic.timeline;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.event.LogLine;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/**
 * Selects from the log lines of several processes those that explain what happened to a task or a job: its own lines,
 * those of its job, all terms, its service, and the hosts that it ran on. Lines are added file by file, and only those
 * that may be selected are kept, so the memory used grows with the explanation rather than with the logs. Not
 * thread-safe.
 */
public final class LogExplainer {
    private static final String TERM_PREFIX = "TERM_";
    private static final String SERVICE_PREFIX = "SERVICE_";
    private static final Set<String> HOST_KINDS = Set.of(EventKind.HOST_SILENT.name(), EventKind.HOST_ANSWERING.name());

    /** Kinds that say that lines are missing, which an explanation must not hide. */
    private static final Set<String> GAP_KINDS = Set.of("LINES_LEFT_OUT", EventKind.TASKS_LEFT_OUT.name());

    private final String subject;
    private final String job;
    private final Optional<TaskKey> task;
    private final List<LogLine> candidates = new ArrayList<>();

    /**
     * Creates an explainer.
     *
     * @param subject identifier of a task, or of a job, which stands for all of its tasks
     */
    public LogExplainer(String subject) {
        this.subject = subject;
        this.task = TaskKey.parse(subject);
        this.job = task.map(TaskKey::job).orElse(subject);
    }

    /** Adds a line; the lines of one file are added in their order. */
    public void add(LogLine line) {
        if (isAboutSubject(line)
                || line.kind().startsWith(TERM_PREFIX)
                || line.kind().startsWith(SERVICE_PREFIX)
                || HOST_KINDS.contains(line.kind())
                || GAP_KINDS.contains(line.kind())) {
            candidates.add(line);
        }
    }

    /**
     * Returns the selected lines by the wall clocks of their processes; lines of the same time stay in the order in
     * which they were added. A service that no line of the subject names is unknown, and then the lines of all services
     * are selected.
     */
    public List<LogLine> explain() {
        Set<String> services = findValues("service");
        Set<String> hosts = findValues("host");
        return candidates.stream()
                .filter(line -> isSelected(line, services, hosts))
                .sorted(Comparator.comparing(LogLine::time))
                .toList();
    }

    private boolean isSelected(LogLine line, Set<String> services, Set<String> hosts) {
        if (line.kind().startsWith(SERVICE_PREFIX)) {
            return services.isEmpty() || services.contains(line.details().getOrDefault("service", ""));
        }
        if (HOST_KINDS.contains(line.kind())) {
            return hosts.contains(line.details().getOrDefault("host", ""));
        }
        return true;
    }

    private Set<String> findValues(String detail) {
        return candidates.stream()
                .filter(this::isAboutSubject)
                .flatMap(line -> Optional.ofNullable(line.details().get(detail)).stream())
                .collect(Collectors.toCollection(HashSet::new));
    }

    private boolean isAboutSubject(LogLine line) {
        if (line.has("job", job) || line.has("task", subject)) {
            return true;
        }
        return task.map(key -> line.has("step", key.stepText()))
                .orElseGet(() -> isPartOfJob(line.details().get("task"))
                        || isPartOfJob(line.details().get("step")));
    }

    private boolean isPartOfJob(@Nullable String identifier) {
        return identifier != null && identifier.startsWith(job + ".");
    }

    /** Formats a line with its time, what happened, its details and the process. */
    public static String describe(LogLine line) {
        StringBuilder text = new StringBuilder();
        text.append(line.time()).append(' ').append(line.kind()).append(": ").append(summarize(line.kind()));
        line.details()
                .forEach((name, value) ->
                        text.append(' ').append(name).append('=').append(value));
        return text.append(" (process ").append(line.process()).append(')').toString();
    }

    private static String summarize(String kind) {
        return Arrays.stream(EventKind.values())
                .filter(known -> known.name().equals(kind))
                .findFirst()
                .map(EventKind::summary)
                .orElse("an event that this version does not describe");
    }
}
