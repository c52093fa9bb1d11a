package org.cicadalead.adapters.http;

import java.util.Optional;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.RetryAdvice;

/**
 * The answer to a failed request, after RFC 9457. Immutable.
 *
 * @param type identifies the error kind
 * @param title the kind for people
 * @param status the HTTP status
 * @param detail what happened and what to do
 * @param execution {@code not-run}, {@code unknown} or {@code ran}
 * @param retryAfterSeconds when to come back, where waiting helps
 */
public record ProblemDocument(
        String type, String title, int status, String detail, String execution, Optional<Integer> retryAfterSeconds) {
    private static final String TYPE_PREFIX = "urn:cicadalead:error:";

    /** Returns the document of an error kind. */
    public static ProblemDocument of(ErrorKind kind, String detail, int retryAfterSeconds) {
        Optional<Integer> retryAfter =
                kind.retryAdvice() == RetryAdvice.AFTER_DELAY ? Optional.of(retryAfterSeconds) : Optional.empty();
        return new ProblemDocument(
                TYPE_PREFIX + kind.code(),
                kind.title(),
                kind.status(),
                detail,
                kind.execution().label(),
                retryAfter);
    }
}
