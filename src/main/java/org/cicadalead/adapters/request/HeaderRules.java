package org.cicadalead.adapters.request;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Names of header fields, and the rules which of them are forwarded past this hop (RFC 9110 section 7.6.1). Stateless;
 * safe for use by several threads.
 */
final class HeaderRules {
    /** Name of the team to which a request is charged. */
    static final String TEAM = "Request-Team";

    /** Maximum time until the response, in milliseconds. */
    static final String TIMEOUT = "Request-Timeout-Milliseconds";

    /** Whether the request may be run more than once: {@code true} or {@code false}. */
    static final String IDEMPOTENT = "Request-Idempotent";

    /** Identifier that this process assigned to the request; set in every response. */
    static final String IDENTIFIER = "Request-Identifier";

    /**
     * Key that permits only one run for all requests with the same key (IETF
     * draft-ietf-httpapi-idempotency-key-header).
     */
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

    /**
     * Passes each forwarded field to the consumer. Hop-by-hop fields and those that {@code Connection} names are not
     * forwarded.
     */
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
        Set<String> fieldNames = new HashSet<>();
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase(CONNECTION)) {
                for (String value : values) {
                    for (String option : value.split(",", -1)) {
                        fieldNames.add(option.strip().toLowerCase(Locale.ROOT));
                    }
                }
            }
        });
        return fieldNames;
    }
}
