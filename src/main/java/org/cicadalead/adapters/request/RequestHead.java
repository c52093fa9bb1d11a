package org.cicadalead.adapters.request;

import java.net.URI;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Method, target and header fields of a caller's request. Immutable.
 *
 * @param method HTTP method
 * @param target path and query, as sent
 * @param headers header fields
 * @param bodyLength declared length of the body in bytes; negative if none is declared
 * @param idempotencyKey idempotency key, if the request has one
 */
record RequestHead(
        String method,
        String target,
        Map<String, List<String>> headers,
        long bodyLength,
        Optional<String> idempotencyKey) {
    private static final int WORK_KIND_PATH_PARTS = 4;
    private static final String HEAD_METHOD = "HEAD";

    boolean isHeadMethod() {
        return HEAD_METHOD.equals(method);
    }

    /** Returns the method and the first segments of the path, by which short and long work are distinguished. */
    String workKind() {
        String path = target.split("\\?", 2)[0];
        String[] parts = path.split("/", WORK_KIND_PATH_PARTS + 1);
        return method + String.join("/", Arrays.asList(parts).subList(0, Math.min(parts.length, WORK_KIND_PATH_PARTS)));
    }

    URI toUri(String address) {
        return URI.create("http://" + address + target);
    }
}
