package org.cicadalead.model.request;

import java.time.Duration;

/**
 * Bounds on what one caller may cost an entry process. Immutable.
 *
 * @param headerBytes bytes of all header fields of a request together
 * @param bodyBytes bytes of a request's body
 * @param bufferedBodyBytes bytes of a body that are kept, so that it can be sent again; a longer one is streamed
 * @param bufferedBytes bytes of all kept bodies together; beyond it bodies are streamed
 * @param answerGrace time after its deadline that a caller has for reading its answer
 */
public record RequestLimits(
        int headerBytes, long bodyBytes, int bufferedBodyBytes, long bufferedBytes, Duration answerGrace) {
    private static final int KIBIBYTE = 1_024;
    private static final int MEBIBYTE = 1_024 * KIBIBYTE;

    /** Bounds of a process whose settings name none. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(32 * KIBIBYTE, 1_024L * MEBIBYTE, 64 * KIBIBYTE, 64L * MEBIBYTE, Duration.ofSeconds(10));
}
