package org.cicadalead.logic.request;

import java.util.Comparator;
import java.util.TreeSet;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.request.RequestTerms;

/**
 * Waiting requests of one team for one service, ordered by urgency and then by deadline. Not safe for use by several
 * threads.
 *
 * @param <T> type of the items
 */
final class TeamQueue<T> {
    static final double REQUEST_COST = 1.0;

    final TeamName team;
    final TreeSet<WaitingRequest<T>> waiting = new TreeSet<>(Comparator.<WaitingRequest<T>>comparingInt(
                    request -> request.terms().urgency())
            .thenComparingLong(request -> request.terms().deadlineNanoseconds())
            .thenComparingLong(WaitingRequest::sequence));
    final int[] waitingByUrgency = new int[RequestTerms.URGENCY_COUNT];
    int share = 1;
    double virtualStart;

    TeamQueue(TeamName team) {
        this.team = team;
    }

    int headUrgency() {
        return waiting.first().terms().urgency();
    }

    /** Returns the number of waiting requests divided by the team's share. */
    double lengthPerShare() {
        return (double) waiting.size() / share;
    }

    /** Advances the team's virtual start by the cost of one request (start-time fair queueing). */
    void advanceVirtualStart(double virtualTime) {
        virtualStart = Math.max(virtualStart, virtualTime) + REQUEST_COST / share;
    }
}
