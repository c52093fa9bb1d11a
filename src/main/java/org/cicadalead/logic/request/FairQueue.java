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
 * The bounded queue of one service. More urgent requests come first; among equally urgent ones teams take turns by
 * their shares (start-time fair queueing, Goyal, Vin and Cheng); within a team the earliest deadline comes first. A
 * full queue gives way to the team that holds the least of it for its share, so one team's burst cannot shut others
 * out. Not safe for use by several threads.
 *
 * @param <T> what is kept with each request
 */
public final class FairQueue<T> {
    private final Map<TeamName, TeamQueue<T>> teams = new HashMap<>();
    private final TreeSet<TeamQueue<T>> active =
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

    /** Returns the urgency of the request whose turn it is; to be asked only while requests wait. */
    public int headUrgency() {
        return active.first().headUrgency();
    }

    /**
     * Adds a request.
     *
     * @param limit requests that may wait
     * @param share weight of the request's team
     * @return the requests that are refused because of it, the new one or another
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
        WaitingRequest<T> victim = longest.waiting.last();
        remove(longest, victim);
        return List.of(new RejectedRequest<>(victim, ErrorKind.QUEUE_FULL, load.retryAfterSeconds(size)));
    }

    /** Takes the request whose turn it is. */
    public Optional<WaitingRequest<T>> poll() {
        if (active.isEmpty()) {
            return Optional.empty();
        }
        TeamQueue<T> queue = active.first();
        WaitingRequest<T> request = queue.waiting.first();
        double start = Math.max(queue.virtualStart, virtualTime);
        active.remove(queue);
        queue.advanceVirtualStart(virtualTime);
        active.add(queue);
        virtualTime = start;
        remove(queue, request);
        return Optional.of(request);
    }

    /** Takes a request out; false when it does not wait here. */
    public boolean cancel(WaitingRequest<T> request) {
        TeamQueue<T> queue = teams.get(request.terms().team());
        if (queue == null || !queue.waiting.contains(request)) {
            return false;
        }
        remove(queue, request);
        return true;
    }

    /** Takes out every request whose item matches. */
    public List<WaitingRequest<T>> cancelAll(Predicate<T> condition) {
        List<WaitingRequest<T>> cancelled = new ArrayList<>();
        for (TeamQueue<T> queue : active) {
            queue.waiting.stream()
                    .filter(request -> condition.test(request.item()))
                    .forEach(cancelled::add);
        }
        cancelled.forEach(this::cancel);
        return cancelled;
    }

    /** Returns the number of teams whose turns are remembered. */
    int countTrackedTeams() {
        return teams.size();
    }

    /** Takes out every request whose turn would come after its deadline. */
    public List<RejectedRequest<T>> removeUnreachable(QueueLoad load, long now) {
        List<WaitingRequest<T>> unreachable = new ArrayList<>();
        for (TeamQueue<T> queue : active) {
            collectUnreachable(queue, load, now, unreachable);
        }
        int retryAfter = load.retryAfterSeconds(size);
        List<RejectedRequest<T>> refused = new ArrayList<>();
        for (WaitingRequest<T> request : unreachable) {
            cancel(request);
            refused.add(new RejectedRequest<>(request, ErrorKind.DEADLINE_UNREACHABLE, retryAfter));
        }
        return refused;
    }

    /** Takes every request out. */
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

    /** Tells whether a new request of a team would start before its deadline. */
    private boolean canStartBeforeDeadline(TeamQueue<T> queue, RequestTerms terms, QueueLoad load, long now) {
        long remaining = terms.remainingNanoseconds(now);
        int position = queue.waitingByUrgency[terms.urgency()];
        if (load.expectedWaitNanoseconds(countRequestsAhead(queue, terms.urgency(), position)) <= remaining) {
            return true;
        }
        int earlier = 0;
        for (WaitingRequest<T> request : queue.waiting) {
            boolean before = request.terms().urgency() == terms.urgency()
                    && request.terms().deadlineNanoseconds() <= terms.deadlineNanoseconds();
            earlier += before ? 1 : 0;
        }
        return load.expectedWaitNanoseconds(countRequestsAhead(queue, terms.urgency(), earlier)) <= remaining;
    }

    /**
     * Returns the requests that are served before one of a team: all more urgent ones, and those that take turns with
     * the team's requests of the same urgency before it, but never more than wait.
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

    /** Returns the requests of all teams that are served while a team gets a number of turns. */
    private long countServedBefore(TeamQueue<T> queue, int position) {
        int shares = queue.waiting.isEmpty() ? activeShares + queue.share : activeShares;
        return (long) position * shares / queue.share;
    }

    private TeamQueue<T> findLongestRelativeToShare(TeamQueue<T> preferred) {
        TeamQueue<T> longest = preferred;
        for (TeamQueue<T> queue : active) {
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
            active.remove(queue);
        }
        queue.waiting.add(request);
        active.add(queue);
        queue.waitingByUrgency[request.terms().urgency()]++;
        waitingByUrgency[request.terms().urgency()]++;
        size++;
    }

    private void remove(TeamQueue<T> queue, WaitingRequest<T> request) {
        active.remove(queue);
        queue.waiting.remove(request);
        queue.waitingByUrgency[request.terms().urgency()]--;
        waitingByUrgency[request.terms().urgency()]--;
        size--;
        if (queue.waiting.isEmpty()) {
            activeShares -= queue.share;
        } else {
            active.add(queue);
        }
        removeIfIdle(queue);
    }

    /** A team that has had no more than its share needs not be remembered, and no team while nothing waits. */
    private void removeIfIdle(TeamQueue<T> queue) {
        if (size == 0) {
            teams.clear();
        } else if (queue.waiting.isEmpty() && queue.virtualStart <= virtualTime) {
            teams.remove(queue.team);
        }
    }

    /**
     * A request that is refused without having run. Immutable.
     *
     * @param request the request
     * @param kind why
     * @param retryAfterSeconds when its caller should come back
     * @param <T> type of the item
     */
    public record RejectedRequest<T>(WaitingRequest<T> request, ErrorKind kind, int retryAfterSeconds) {}
}
