package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.AdvisorTerms;
import org.junit.jupiter.api.Test;

class StepTicketsTest {
    private static final long VALIDITY = 10_000;
    private static final WorkHost FIRST = new WorkHost(WorkFixtures.host("first", WorkFixtures.BUSY, "rack"));
    private static final WorkHost SECOND = new WorkHost(WorkFixtures.host("second", WorkFixtures.BUSY, "rack"));
    private static final List<WorkHost> HOSTS = List.of(FIRST, SECOND);

    private final StepTickets tickets = new StepTickets(new AdvisorTerms(50, 1, VALIDITY));

    private void answer(Map<String, String> allowed, long now) {
        tickets.answered(tickets.nextQuestion(HOSTS, now), Optional.of(allowed), now, now + 60);
    }

    @Test
    void oneQuestionIsOnItsWayAtATime() {
        assertEquals(List.of("first", "second"), tickets.nextQuestion(HOSTS, 0));
        assertEquals(List.of(), tickets.nextQuestion(HOSTS, 10));
    }

    @Test
    void aHostThatMayNotRunTheStepIsNotAskedAboutAgain() {
        answer(Map.of("first", "ticket"), 0);
        assertEquals(Optional.of("ticket"), tickets.ticketFor("first", 100));
        assertEquals(Optional.empty(), tickets.ticketFor("second", 100));
        assertEquals(List.of(), tickets.nextQuestion(HOSTS, 100));
    }

    @Test
    void aTicketIsRenewedBeforeItExpires() {
        answer(Map.of("first", "ticket"), 0);
        assertEquals(Optional.empty(), tickets.ticketFor("first", VALIDITY - 100));
        assertEquals(List.of("first"), tickets.nextQuestion(HOSTS, VALIDITY - 100));
    }

    @Test
    void aTicketThatAHostRejectedIsAskedForAnew() {
        answer(Map.of("first", "ticket"), 0);
        tickets.rejected("first");
        assertEquals(List.of("first"), tickets.nextQuestion(HOSTS, 100));
    }

    @Test
    void aQuestionWithoutAnAnswerIsRepeatedAfterAPause() {
        List<String> question = tickets.nextQuestion(HOSTS, 0);
        tickets.answered(question, Optional.empty(), 0, 100);
        assertEquals(List.of(), tickets.nextQuestion(HOSTS, 150));
        assertEquals(question, tickets.nextQuestion(HOSTS, 500));
    }
}
