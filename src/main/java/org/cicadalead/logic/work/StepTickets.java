package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.AdvisorTerms;

/**
 * Decisions of the external policy on the hosts that may run a step: tickets, which expire, and rejections, which are
 * permanent. At most one request is in flight. Not thread-safe.
 */
final class StepTickets {
    /** Maximum number of hosts in one request: each takes time, and a job's objective allows for this many. */
    private static final int MAX_HOSTS_PER_REQUEST = 30;

    /** Time before its expiry from which a ticket is no longer used: an order to start takes at most this long. */
    private static final long EXPIRY_MARGIN_MILLISECONDS = 600;

    /** Pause after a request without a reply; the policy rejects more than a few dozen at once. */
    private static final long RETRY_MILLISECONDS = 300;

    private final AdvisorTerms terms;
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Set<String> rejectedHosts = new HashSet<>();
    private boolean requestInFlight;
    private long retryAt = Long.MIN_VALUE;

    StepTickets(AdvisorTerms terms) {
        this.terms = terms;
    }

    /** Returns the ticket for a host; empty when there is none that stays valid long enough. */
    Optional<String> findTicket(String host, long now) {
        Ticket ticket = tickets.get(host);
        boolean isValid = ticket != null
                && now < ticket.requestedAt() + terms.validityMilliseconds() - EXPIRY_MARGIN_MILLISECONDS;
        return isValid ? Optional.of(ticket.text()) : Optional.empty();
    }

    /**
     * Starts the next request and returns the hosts to ask about, those with the most free capacity first; returns an
     * empty list when no request is due.
     */
    List<String> createRequest(Collection<WorkHost> hosts, long now) {
        if (requestInFlight || now < retryAt) {
            return List.of();
        }
        List<WorkHost> undecidedHosts = new ArrayList<>();
        for (WorkHost host : hosts) {
            if (!rejectedHosts.contains(host.identifier)
                    && findTicket(host.identifier, now).isEmpty()) {
                undecidedHosts.add(host);
            }
        }
        undecidedHosts.sort(
                Comparator.comparingLong((WorkHost host) -> -host.freeCapacity().milliCores())
                        .thenComparing(host -> host.identifier));
        requestInFlight = !undecidedHosts.isEmpty();
        return undecidedHosts.stream()
                .limit(MAX_HOSTS_PER_REQUEST)
                .map(host -> host.identifier)
                .toList();
    }

    /**
     * Applies the reply to a request.
     *
     * @param allowed tickets by host; empty when no reply came
     * @param requestedAt monotonic time when the request was sent, from which the validity of its tickets is counted
     */
    void onAdvisorReply(List<String> hosts, Optional<Map<String, String>> allowed, long requestedAt, long now) {
        requestInFlight = false;
        if (allowed.isEmpty()) {
            retryAt = now + RETRY_MILLISECONDS;
            return;
        }
        for (String host : hosts) {
            String ticket = allowed.get().get(host);
            if (ticket == null) {
                rejectedHosts.add(host);
            } else {
                tickets.put(host, new Ticket(ticket, requestedAt));
            }
        }
    }

    /** Removes the ticket that a host did not accept. */
    void onTicketRejected(String host) {
        tickets.remove(host);
    }

    private record Ticket(String text, long requestedAt) {}
}
