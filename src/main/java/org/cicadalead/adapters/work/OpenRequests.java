package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.ports.TimerService;

/**
 * Callers' requests that were received and have no response yet. A request is open from {@link #begin} to {@link #end},
 * and counts as unanswered at most once. Safe for use by several threads; beginning and ending a request never blocks.
 */
public final class OpenRequests {
    /** Maximum number of requests of which a report writes a line each. */
    private static final int MAX_REPORTED_REQUESTS = 50;

    /** Maximum number of characters of a path that are logged. */
    private static final int MAX_PATH_CHARACTERS = 200;

    private final TimerService timers;
    private final DecisionLog log;
    private final Set<OpenRequest> requests = ConcurrentHashMap.newKeySet();

    /** Kept beside the set, whose size is only an estimate while it changes. */
    private final AtomicInteger count = new AtomicInteger();

    private volatile Set<OpenRequest> openWhenClosing = Set.of();

    /** Creates an empty collection, whose oldest request the metrics of the log show. */
    public OpenRequests(TimerService timers, DecisionLog log) {
        this.timers = timers;
        this.log = log;
        log.metrics().observeOldestOpenRequest(this::oldestAge);
    }

    /** Adds a request whose body has not been read yet. */
    public OpenRequest begin(String method, String path) {
        count.incrementAndGet();
        OpenRequest request = new OpenRequest(method, path, timers.nanoTime());
        requests.add(request);
        return request;
    }

    /** Remembers the requests that are open, as closing a connection may end its request; call this before that. */
    public void onConnectionsClosing() {
        openWhenClosing = Set.copyOf(requests);
    }

    /** Removes a request that was answered, or whose caller has left. */
    public void end(OpenRequest request) {
        if (requests.remove(request)) {
            count.decrementAndGet();
        }
    }

    /** Returns the number of open requests. */
    public int count() {
        return count.get();
    }

    /** Returns the time since the oldest open request was received; zero if none is open. */
    public Duration oldestAge() {
        long now = timers.nanoTime();
        return Duration.ofNanos(requests.stream()
                .mapToLong(request -> now - request.receivedAt)
                .max()
                .orElse(0));
    }

    /** Counts a request whose response could not be delivered. */
    public void onResponseLost(OpenRequest request) {
        countUnanswered(request);
    }

    /**
     * Logs and counts the requests that had no response when their connections were closed, the oldest first. Those
     * whose response was lost have been counted before.
     */
    public void reportUnanswered() {
        long now = timers.nanoTime();
        List<OpenRequest> unanswered = Stream.concat(openWhenClosing.stream(), requests.stream())
                .distinct()
                .filter(request -> !request.answered)
                .filter(this::countUnanswered)
                .sorted(Comparator.comparingLong(request -> request.receivedAt - now))
                .toList();
        unanswered.stream()
                .limit(MAX_REPORTED_REQUESTS)
                .forEach(request -> log.emit(
                        EventKind.REQUEST_UNANSWERED,
                        EventDetail.of("method", request.method),
                        EventDetail.of(
                                "path",
                                request.path.substring(0, Math.min(request.path.length(), MAX_PATH_CHARACTERS))),
                        EventDetail.of("ageMilliseconds", TimeUnit.NANOSECONDS.toMillis(now - request.receivedAt)),
                        EventDetail.of("waitingFor", request.waitingFor)));
        int leftOut = unanswered.size() - MAX_REPORTED_REQUESTS;
        if (leftOut > 0) {
            log.emit(EventKind.REQUEST_UNANSWERED, EventDetail.of("leftOut", leftOut));
        }
    }

    /** Returns whether the request had not been counted before. */
    private boolean countUnanswered(OpenRequest request) {
        boolean isFirst = request.markUnanswered();
        if (isFirst) {
            log.metrics().countUnanswered(request.method);
        }
        return isFirst;
    }

    /** What an open request waits for. */
    public enum WaitingFor {
        /** The rest of the request. */
        BODY,
        /** The store, directly or through the leader, to confirm records. */
        STORE,
        /** The leader's answer to a query, or a leader. */
        LEADER,
        /** The caller, to take the response. */
        CALLER
    }

    /** An open request; compared by identity. Safe for use by several threads. */
    public static final class OpenRequest {
        private final String method;
        private final String path;
        private final long receivedAt;
        private volatile WaitingFor waitingFor = WaitingFor.BODY;
        private volatile boolean answered;
        private boolean unanswered;

        private OpenRequest(String method, String path, long receivedAt) {
            this.method = method;
            this.path = path;
            this.receivedAt = receivedAt;
        }

        /** Records what the request waits for from now on. */
        public void waitFor(WaitingFor next) {
            waitingFor = next;
        }

        /** Records that the response was written. */
        public void onAnswered() {
            answered = true;
        }

        /** Returns the monotonic time in nanoseconds at which the request was received. */
        public long receivedAt() {
            return receivedAt;
        }

        private synchronized boolean markUnanswered() {
            boolean isFirst = !unanswered;
            unanswered = true;
            return isFirst;
        }
    }
}
