package org.cicadalead.logic.request;

import java.util.Optional;
import org.cicadalead.model.identity.ProcessIdentifier;

/**
 * State of one idempotency key. Immutable.
 *
 * @param digest digest of the request, which distinguishes the requests that use the key
 * @param runner the process that was granted the run
 * @param claim number of its claim
 * @param verdict {@code IN_PROGRESS}, {@code ANSWERED}, {@code ANSWERED_WITHOUT_COPY} or {@code OUTCOME_UNKNOWN}
 * @param response the stored response
 * @param grantedAt monotonic time of the grant
 * @param <A> type of a stored response
 */
public record KeyEntry<A>(
        String digest, ProcessIdentifier runner, long claim, KeyVerdict verdict, Optional<A> response, long grantedAt) {
    KeyEntry<A> withOutcome(KeyVerdict newVerdict, Optional<A> newResponse) {
        return new KeyEntry<>(digest, runner, claim, newVerdict, newResponse, grantedAt);
    }
}
