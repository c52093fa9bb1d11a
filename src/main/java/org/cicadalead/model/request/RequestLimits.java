package org.cicadalead.model.request;

import java.time.Duration;

/**
 * Limits on the resources that callers may use in an entry process. Immutable.
 *
 * @param headerBytes maximum total bytes of the header fields of a request
 * @param bodyBytes maximum bytes of the body of a request
 * @param bufferedBodyBytes maximum bytes of a body that is buffered, so that it can be resent; a longer body is
 *     streamed
 * @param bufferedBytes maximum total bytes of all buffered bodies; beyond it bodies are streamed
 * @param answerGrace time after the deadline that a caller has for reading its response
 */
public record RequestLimits(
        int headerBytes, long bodyBytes, int bufferedBodyBytes, long bufferedBytes, Duration answerGrace) {
    private static final int KIBIBYTE = 1_024;
    private static final int MEBIBYTE = 1_024 * KIBIBYTE;

    /** Limits of a process whose settings specify none. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(32 * KIBIBYTE, 1_024L * MEBIBYTE, 64 * KIBIBYTE, 64L * MEBIBYTE, Duration.ofSeconds(10));
}
