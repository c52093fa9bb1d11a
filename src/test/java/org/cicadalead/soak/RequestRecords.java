package org.cicadalead.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counts the requests of callers and keeps those without an answer. Safe for use by several threads. */
final class RequestRecords {
    /** Time after the last byte of a request within which the end of its connection is not counted. */
    private static final long LOSS_SLACK_MILLISECONDS = 200;

    /** Time before a request in which an unplanned disruption excuses a missing answer. */
    private static final long DISRUPTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);

    private final Timeline timeline;
    private final Writer lines;
    private final Map<CallerConnection.Ending, Integer> counts = new EnumMap<>(CallerConnection.Ending.class);
    private final Map<Integer, Integer> statuses = new TreeMap<>();
    private final List<Request> unanswered = new ArrayList<>();

    private record Request(String method, String path, SoakProcess process, CallerConnection.Answer answer) {
        long durationMilliseconds() {
            return TimeUnit.NANOSECONDS.toMillis(answer.endedAt() - answer.sentAt());
        }
    }

    /** Creates records whose requests are also written to a stream, one line each. */
    RequestRecords(Timeline timeline, Writer lines) {
        this.timeline = timeline;
        this.lines = lines;
    }

    synchronized void add(String method, String path, SoakProcess process, CallerConnection.Answer answer) {
        Request request = new Request(method, path, process, answer);
        try {
            lines.write(describe(request) + ", status " + answer.status() + "\n");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        counts.merge(answer.ending(), 1, Integer::sum);
        statuses.merge(answer.status(), 1, Integer::sum);
        switch (answer.ending()) {
            case CUT, TIMED_OUT -> unanswered.add(request);
            default -> {}
        }
    }

    /** Writes what is still buffered. */
    synchronized void flush() throws IOException {
        lines.flush();
    }

    private boolean isExcused(Request request) {
        return timeline.isDisrupted(
                request.answer().sentAt() - DISRUPTION_NANOSECONDS,
                request.answer().endedAt());
    }

    /** Describes the requests that were sent whole and whose connection ended late without a complete answer. */
    synchronized List<String> findLost() {
        return unanswered.stream()
                .filter(request -> request.durationMilliseconds() > LOSS_SLACK_MILLISECONDS && !isExcused(request))
                .map(this::describe)
                .toList();
    }

    /** Describes the requests whose connection ended without an answer soon after they were sent. */
    synchronized List<String> findCutEarly() {
        return unanswered.stream()
                .filter(request -> request.durationMilliseconds() <= LOSS_SLACK_MILLISECONDS && !isExcused(request))
                .map(this::describe)
                .toList();
    }

    private String describe(Request request) {
        CallerConnection.Answer answer = request.answer();
        return answer.ending() + " " + request.method() + " " + request.path() + " at "
                + request.process().name() + ", sent " + timeline.wallClock(answer.sentAt())
                + sinceStop(request.process().millisecondsSinceStop(answer.sentAt())) + ", ended "
                + timeline.wallClock(answer.endedAt())
                + sinceStop(request.process().millisecondsSinceStop(answer.endedAt())) + ", after "
                + request.durationMilliseconds() + " ms";
    }

    private static String sinceStop(OptionalLong milliseconds) {
        return milliseconds.isPresent() ? " (SIGTERM + " + milliseconds.getAsLong() + " ms)" : "";
    }

    synchronized String summary() {
        return "requests " + counts + ", statuses " + statuses;
    }
}
