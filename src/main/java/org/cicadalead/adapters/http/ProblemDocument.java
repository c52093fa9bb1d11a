package org.cicadalead.adapters.http;

import java.util.Optional;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.RetryAdvice;

/**
 * The problem document (RFC 9457) that is the response to a failed request. Immutable.
 *
 * @param type identifies the error kind
 * @param title a readable title of the error kind
 * @param status the HTTP status
 * @param detail what failed and what the caller can do
 * @param execution whether the request was executed: {@code not-run}, {@code unknown} or {@code ran}
 * @param retryAfterSeconds delay before a retry, if the error kind advises to retry after a delay
 */
public record ProblemDocument(
        String type, String title, int status, String detail, String execution, Optional<Integer> retryAfterSeconds) {
    private static final String TYPE_PREFIX = "urn:cicadalead:error:";

    /** Creates the document of an error kind. */
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
