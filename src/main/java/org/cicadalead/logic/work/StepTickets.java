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
 * What the outside policy has said of the hosts that may run a step: tickets, which expire, and refusals, which stand.
 * One question is on its way at a time. For use by one thread.
 */
final class StepTickets {
    /** Most hosts in one question: each costs time, and this many are what a job's objective allows for. */
    private static final int MAX_HOSTS_PER_REQUEST = 30;

    /** Time before its end at which a ticket is used no more: an order to start is on its way at most this long. */
    private static final long EXPIRY_MARGIN_MILLISECONDS = 600;

    /** Pause after a question without an answer; the policy refuses more than a few dozen at once. */
    private static final long RETRY_MILLISECONDS = 300;

    private final AdvisorTerms terms;
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private boolean requestInFlight;
    private long retryAt = Long.MIN_VALUE;

    StepTickets(AdvisorTerms terms) {
        this.terms = terms;
    }

    /** Returns the ticket for a host; empty where there is none that is valid long enough. */
    Optional<String> findTicket(String host, long now) {
        Ticket ticket = tickets.get(host);
        boolean valid =
                ticket != null && now < ticket.askedAt() + terms.validityMilliseconds() - EXPIRY_MARGIN_MILLISECONDS;
        return valid ? Optional.of(ticket.text()) : Optional.empty();
    }

    /** Returns the hosts to ask about now, those with the most free room first; empty where nothing is to be asked. */
    List<String> createRequest(Collection<WorkHost> hosts, long now) {
        if (requestInFlight || now < retryAt) {
            return List.of();
        }
        List<WorkHost> unknown = new ArrayList<>();
        for (WorkHost host : hosts) {
            if (!refused.contains(host.identifier)
                    && findTicket(host.identifier, now).isEmpty()) {
                unknown.add(host);
            }
        }
        unknown.sort(
                Comparator.comparingLong((WorkHost host) -> -host.freeCapacity().milliCores())
                        .thenComparing(host -> host.identifier));
        requestInFlight = !unknown.isEmpty();
        return unknown.stream()
                .limit(MAX_HOSTS_PER_REQUEST)
                .map(host -> host.identifier)
                .toList();
    }

    /**
     * Takes the answer to a question.
     *
     * @param allowed tickets by host; empty where no answer came
     * @param askedAt when it was asked, from when its tickets count at the latest
     */
    void onAdvisorReply(List<String> hosts, Optional<Map<String, String>> allowed, long askedAt, long now) {
        requestInFlight = false;
        if (allowed.isEmpty()) {
            retryAt = now + RETRY_MILLISECONDS;
            return;
        }
        for (String host : hosts) {
            String ticket = allowed.get().get(host);
            if (ticket == null) {
                refused.add(host);
            } else {
                tickets.put(host, new Ticket(ticket, askedAt));
            }
        }
    }

    /** A host did not accept its ticket. */
    void onTicketRejected(String host) {
        tickets.remove(host);
    }

    private record Ticket(String text, long askedAt) {}
}
