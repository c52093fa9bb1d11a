package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.AdvisorTerms;
import org.junit.jupiter.api.Test;

class StepTicketsTest {
    private static final long VALIDITY = 10_000;
    private static final WorkHost FIRST = new WorkHost(WorkFixtures.host("first", WorkFixtures.BUSY, "rack"), 0);
    private static final WorkHost SECOND = new WorkHost(WorkFixtures.host("second", WorkFixtures.BUSY, "rack"), 0);
    private static final List<WorkHost> HOSTS = List.of(FIRST, SECOND);

    private final StepTickets tickets = new StepTickets(new AdvisorTerms(50, 1, VALIDITY));

    private void replyToRequest(Map<String, String> allowed, long now) {
        tickets.onAdvisorReply(tickets.createRequest(HOSTS, now), Optional.of(allowed), now, now + 60);
    }

    @Test
    void sendsOneRequestAtATime() {
        assertEquals(List.of("first", "second"), tickets.createRequest(HOSTS, 0));
        assertEquals(List.of(), tickets.createRequest(HOSTS, 10));
    }

    @Test
    void doesNotAskAgainAboutRejectedHost() {
        replyToRequest(Map.of("first", "ticket"), 0);
        assertEquals(Optional.of("ticket"), tickets.findTicket("first", 100));
        assertEquals(Optional.empty(), tickets.findTicket("second", 100));
        assertEquals(List.of(), tickets.createRequest(HOSTS, 100));
    }

    @Test
    void renewsTicketBeforeExpiry() {
        replyToRequest(Map.of("first", "ticket"), 0);
        assertEquals(Optional.empty(), tickets.findTicket("first", VALIDITY - 100));
        assertEquals(List.of("first"), tickets.createRequest(HOSTS, VALIDITY - 100));
    }

    @Test
    void requestsNewTicketAfterHostRejection() {
        replyToRequest(Map.of("first", "ticket"), 0);
        tickets.onTicketRejected("first");
        assertEquals(List.of("first"), tickets.createRequest(HOSTS, 100));
    }

    @Test
    void retriesUnansweredRequestAfterPause() {
        List<String> question = tickets.createRequest(HOSTS, 0);
        tickets.onAdvisorReply(question, Optional.empty(), 0, 100);
        assertEquals(List.of(), tickets.createRequest(HOSTS, 150));
        assertEquals(question, tickets.createRequest(HOSTS, 500));
    }
}
