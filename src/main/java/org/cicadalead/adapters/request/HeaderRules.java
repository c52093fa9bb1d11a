package org.cicadalead.adapters.request;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Which header fields go past this hop, as RFC 9110 section 7.6.1 says. Stateless; safe for use by several threads. */
final class HeaderRules {
    /** Names the team that a request is charged to. */
    static final String TEAM = "Request-Team";

    /** Bounds the time until the answer, in milliseconds. */
    static final String TIMEOUT = "Request-Timeout-Milliseconds";

    /** Says whether the request may be run more than once: {@code true} or {@code false}. */
    static final String IDEMPOTENT = "Request-Idempotent";

    /** Identifier that this process gave to the request, in every answer. */
    static final String IDENTIFIER = "Request-Identifier";

    /** One run for all requests with the same key (IETF draft-ietf-httpapi-idempotency-key-header). */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Urgency, as in RFC 9218. */
    static final String PRIORITY = "Priority";

    static final String CONNECTION = "Connection";
    static final String CONTENT_LENGTH = "Content-Length";
    static final String TRANSFER_ENCODING = "Transfer-Encoding";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "http2-settings",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HeaderRules() {}

    /** Passes on each field that goes past this hop; those that {@code Connection} names do not. */
    static void forEachForwarded(Map<String, List<String>> headers, BiConsumer<String, String> consumer) {
        Set<String> dropped = findFieldsNamedByConnection(headers);
        headers.forEach((name, values) -> {
            String key = name.toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(key) && !dropped.contains(key) && !key.startsWith(":")) {
                values.forEach(value -> consumer.accept(name, value));
            }
        });
    }

    private static Set<String> findFieldsNamedByConnection(Map<String, List<String>> headers) {
        Set<String> named = new HashSet<>();
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase(CONNECTION)) {
                for (String value : values) {
                    for (String option : value.split(",", -1)) {
                        named.add(option.strip().toLowerCase(Locale.ROOT));
                    }
                }
            }
        });
        return named;
    }
}
