package org.cicadalead.adapters.request;

import java.net.URI;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The first part of a caller's request. Immutable.
 *
 * @param method its method
 * @param target path and query, as sent
 * @param headers its header fields
 * @param bodyLength declared length of the body; negative for none
 * @param idempotencyKey the key, if it carries one
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

    /** Returns the method and the first parts of the path, which tell short from long work. */
    String workKind() {
        String path = target.split("\\?", 2)[0];
        String[] parts = path.split("/", WORK_KIND_PATH_PARTS + 1);
        return method + String.join("/", Arrays.asList(parts).subList(0, Math.min(parts.length, WORK_KIND_PATH_PARTS)));
    }

    URI toUri(String address) {
        return URI.create("http://" + address + target);
    }
}
