package org.cicadalead.logic.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.request.RequestTerms;

/**
 * Bounded queue of the requests of one service. More urgent requests are served first; teams with equally urgent
 * requests are served in proportion to their shares (start-time fair queueing, Goyal, Vin and Cheng); within a team,
 * the request with the earliest deadline is served first. A full queue rejects a request of the team that occupies the
 * most of the queue relative to its share, so that a burst of one team cannot block the others. Not safe for use by
 * several threads.
 *
 * @param <T> type of the item that is stored with each request
 */
public final class FairQueue<T> {
    private final Map<TeamName, TeamQueue<T>> teams = new HashMap<>();
    private final TreeSet<TeamQueue<T>> activeTeams =
            new TreeSet<>(Comparator.<TeamQueue<T>>comparingInt(TeamQueue::headUrgency)
                    .thenComparingDouble(queue -> queue.virtualStart)
                    .thenComparing(queue -> queue.team));
    private final int[] waitingByUrgency = new int[RequestTerms.URGENCY_COUNT];
    private int size;
    private int activeShares;
    private long nextSequence;
    private double virtualTime;

    /** Returns the number of waiting requests. */
    public int size() {
        return size;
    }

    /** Returns the urgency of the request that is served next. The queue must not be empty. */
    public int headUrgency() {
        return activeTeams.first().headUrgency();
    }

    /**
     * Adds a request.
     *
     * @param limit maximum number of waiting requests
     * @param share weight of the request's team
     * @return the requests that are rejected as a result: the new request or another one
     */
    public List<RejectedRequest<T>> offer(RequestTerms terms, T item, int share, int limit, QueueLoad load, long now) {
        TeamQueue<T> queue = teams.computeIfAbsent(terms.team(), TeamQueue::new);
        WaitingRequest<T> request = new WaitingRequest<>(terms, nextSequence++, item);
        queue.share = queue.waiting.isEmpty() ? share : queue.share;
        if (!canStartBeforeDeadline(queue, terms, load, now)) {
            removeIfIdle(queue);
            return List.of(
                    new RejectedRequest<>(request, ErrorKind.DEADLINE_UNREACHABLE, load.retryAfterSeconds(size)));
        }
        add(queue, request);
        if (size <= limit) {
            return List.of();
        }
        TeamQueue<T> longest = findLongestRelativeToShare(queue);
        WaitingRequest<T> dropped = longest.waiting.last();
        remove(longest, dropped);
        return List.of(new RejectedRequest<>(dropped, ErrorKind.QUEUE_FULL, load.retryAfterSeconds(size)));
    }

    /** Removes and returns the request that is served next. */
    public Optional<WaitingRequest<T>> poll() {
        if (activeTeams.isEmpty()) {
            return Optional.empty();
        }
        TeamQueue<T> queue = activeTeams.first();
        WaitingRequest<T> request = queue.waiting.first();
        double start = Math.max(queue.virtualStart, virtualTime);
        activeTeams.remove(queue);
        queue.advanceVirtualStart(virtualTime);
        activeTeams.add(queue);
        virtualTime = start;
        remove(queue, request);
        return Optional.of(request);
    }

    /** Removes a request; returns false when it is not in this queue. */
    public boolean cancel(WaitingRequest<T> request) {
        TeamQueue<T> queue = teams.get(request.terms().team());
        if (queue == null || !queue.waiting.contains(request)) {
            return false;
        }
        remove(queue, request);
        return true;
    }

    /** Removes and returns every request whose item matches. */
    public List<WaitingRequest<T>> cancelAll(Predicate<T> condition) {
        List<WaitingRequest<T>> cancelled = new ArrayList<>();
        for (TeamQueue<T> queue : activeTeams) {
            queue.waiting.stream()
                    .filter(request -> condition.test(request.item()))
                    .forEach(cancelled::add);
        }
        cancelled.forEach(this::cancel);
        return cancelled;
    }

    /** Returns the number of teams whose virtual start is kept. */
    int countTrackedTeams() {
        return teams.size();
    }

    /** Removes and returns every request that would start after its deadline. */
    public List<RejectedRequest<T>> removeUnreachable(QueueLoad load, long now) {
        List<WaitingRequest<T>> unreachable = new ArrayList<>();
        for (TeamQueue<T> queue : activeTeams) {
            collectUnreachable(queue, load, now, unreachable);
        }
        int retryAfter = load.retryAfterSeconds(size);
        List<RejectedRequest<T>> rejected = new ArrayList<>();
        for (WaitingRequest<T> request : unreachable) {
            cancel(request);
            rejected.add(new RejectedRequest<>(request, ErrorKind.DEADLINE_UNREACHABLE, retryAfter));
        }
        return rejected;
    }

    /** Removes and returns every request, in the order of service. */
    public List<WaitingRequest<T>> drain() {
        List<WaitingRequest<T>> drained = new ArrayList<>();
        for (Optional<WaitingRequest<T>> next = poll(); next.isPresent(); next = poll()) {
            drained.add(next.get());
        }
        return drained;
    }

    private void collectUnreachable(TeamQueue<T> queue, QueueLoad load, long now, List<WaitingRequest<T>> unreachable) {
        int urgency = -1;
        int position = 0;
        for (WaitingRequest<T> request : queue.waiting) {
            position = request.terms().urgency() == urgency ? position : 0;
            urgency = request.terms().urgency();
            if (load.expectedWaitNanoseconds(countRequestsAhead(queue, urgency, position))
                    > request.terms().remainingNanoseconds(now)) {
                unreachable.add(request);
            } else {
                position++;
            }
        }
    }

    /** Returns whether a new request of a team would start before its deadline. */
    private boolean canStartBeforeDeadline(TeamQueue<T> queue, RequestTerms terms, QueueLoad load, long now) {
        long remaining = terms.remainingNanoseconds(now);
        int position = queue.waitingByUrgency[terms.urgency()];
        if (load.expectedWaitNanoseconds(countRequestsAhead(queue, terms.urgency(), position)) <= remaining) {
            return true;
        }
        int servedEarlier = 0;
        for (WaitingRequest<T> request : queue.waiting) {
            boolean isServedEarlier = request.terms().urgency() == terms.urgency()
                    && request.terms().deadlineNanoseconds() <= terms.deadlineNanoseconds();
            servedEarlier += isServedEarlier ? 1 : 0;
        }
        return load.expectedWaitNanoseconds(countRequestsAhead(queue, terms.urgency(), servedEarlier)) <= remaining;
    }

    /**
     * Returns the number of requests that are served before the request at a position of a team: all more urgent
     * requests, and the equally urgent ones that fair queueing serves before it, limited to the number of waiting
     * requests.
     */
    private long countRequestsAhead(TeamQueue<T> queue, int urgency, int position) {
        long moreUrgent = countMoreUrgent(urgency);
        long sameUrgency = Math.min(waitingByUrgency[urgency], countServedBefore(queue, position));
        return moreUrgent + sameUrgency;
    }

    private long countMoreUrgent(int urgency) {
        long count = 0;
        for (int level = 0; level < urgency; level++) {
            count += waitingByUrgency[level];
        }
        return count;
    }

    /** Returns the number of requests of all teams that are served before the request at a position of a team. */
    private long countServedBefore(TeamQueue<T> queue, int position) {
        int shares = queue.waiting.isEmpty() ? activeShares + queue.share : activeShares;
        return (long) position * shares / queue.share;
    }

    private TeamQueue<T> findLongestRelativeToShare(TeamQueue<T> preferred) {
        TeamQueue<T> longest = preferred;
        for (TeamQueue<T> queue : activeTeams) {
            if (queue.lengthPerShare() > longest.lengthPerShare()) {
                longest = queue;
            }
        }
        return longest;
    }

    private void add(TeamQueue<T> queue, WaitingRequest<T> request) {
        if (queue.waiting.isEmpty()) {
            queue.virtualStart = Math.max(queue.virtualStart, virtualTime);
            activeShares += queue.share;
        } else {
            activeTeams.remove(queue);
        }
        queue.waiting.add(request);
        activeTeams.add(queue);
        queue.waitingByUrgency[request.terms().urgency()]++;
        waitingByUrgency[request.terms().urgency()]++;
        size++;
    }

    private void remove(TeamQueue<T> queue, WaitingRequest<T> request) {
        activeTeams.remove(queue);
        queue.waiting.remove(request);
        queue.waitingByUrgency[request.terms().urgency()]--;
        waitingByUrgency[request.terms().urgency()]--;
        size--;
        if (queue.waiting.isEmpty()) {
            activeShares -= queue.share;
        } else {
            activeTeams.add(queue);
        }
        removeIfIdle(queue);
    }

    /**
     * Removes a team that has no waiting requests and has not received more than its share, and all teams when the
     * queue is empty.
     */
    private void removeIfIdle(TeamQueue<T> queue) {
        if (size == 0) {
            teams.clear();
        } else if (queue.waiting.isEmpty() && queue.virtualStart <= virtualTime) {
            teams.remove(queue.team);
        }
    }

    /**
     * A request that is rejected without having run. Immutable.
     *
     * @param request the request
     * @param kind reason of the rejection
     * @param retryAfterSeconds time after which its caller should retry, in seconds
     * @param <T> type of the item
     */
    public record RejectedRequest<T>(WaitingRequest<T> request, ErrorKind kind, int retryAfterSeconds) {}
}
