package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestPhase;
import org.cicadalead.model.request.RequestTerms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    private final RetryBudget budget = new RetryBudget();

    @ParameterizedTest
    @CsvSource({
        "NOT_CONNECTED,true,true",
        "NOT_CONNECTED,false,true",
        "VIEW_OUT_OF_DATE,false,true",
        "CONNECTION_LOST,true,true",
        "CONNECTION_LOST,false,false",
        "TIMED_OUT,true,false",
        "CALLER_FAILED,true,false",
        "ANSWERED_WITH_ERROR,true,false",
    })
    void retriesOnlyRequestsThatCannotRunTwice(AttemptOutcome outcome, boolean idempotent, boolean expectedRetry) {
        assertEquals(expectedRetry, tryAcquireRetry(outcome, idempotent, true, 0));
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void neverRetriesAfterDeadline(AttemptOutcome outcome) {
        assertFalse(tryAcquireRetry(outcome, true, true, Duration.ofSeconds(2).toNanos()));
    }

    @Test
    void neverRetriesWhenBodyCannotBeResent() {
        assertFalse(tryAcquireRetry(AttemptOutcome.NOT_CONNECTED, true, false, 0));
    }

    @Test
    void correlatedFailureExhaustsRetryBudget() {
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.deposit();
            retries += tryAcquireRetry(AttemptOutcome.CONNECTION_LOST, true, true, 0) ? 1 : 0;
        }
        assertTrue(retries <= RetryBudget.RESERVED_RETRIES + 100, "retries: " + retries);
    }

    private boolean tryAcquireRetry(AttemptOutcome outcome, boolean idempotent, boolean bodyResendable, long now) {
        RequestProgress progress = RequestProgress.admitted(idempotent)
                .enter(RequestPhase.QUEUED)
                .enter(RequestPhase.CHOSEN)
                .enter(RequestPhase.SENT);
        RequestTerms terms = new RequestTerms(
                new RequestIdentifier("request"),
                new ServiceName("diet-checks"),
                new TeamName("cooks"),
                3,
                idempotent,
                0,
                Duration.ofSeconds(1).toNanos());
        return RetryPolicy.tryAcquireRetry(terms, progress, outcome, bodyResendable, budget, now);
    }
}
