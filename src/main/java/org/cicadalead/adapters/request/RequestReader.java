package org.cicadalead.adapters.request;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadalead.logic.request.RoutingIndex;
import org.cicadalead.logic.request.ServiceRoute;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.request.RequestLimits;
import org.cicadalead.model.request.RequestTerms;

/** Parses and validates the head of a request. Stateless; safe for use by several threads. */
final class RequestReader {
    /** Team of the requests that name no team. It has the share of a team whose configuration file sets none. */
    static final TeamName UNNAMED_TEAM = new TeamName("unnamed");

    private static final String SERVICES_PATH = "/services/";
    private static final String PROTOCOL = "HTTP/1.1";
    private static final Set<String> REJECTED_METHODS = Set.of("CONNECT", "TRACE");
    private static final Pattern URGENCY = Pattern.compile("(?:^|,)\\s*u=([0-7])\\s*(?:[;,]|$)");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final int SEPARATOR_BYTES = 4;

    private final RequestLimits limits;

    RequestReader(RequestLimits limits) {
        this.limits = limits;
    }

    /** Parses the head; throws {@link CicadaleadException} if it violates the protocol. */
    RequestHead readHead(HttpExchange exchange) {
        Headers headers = exchange.getRequestHeaders();
        if (!PROTOCOL.equals(exchange.getProtocol())) {
            throw malformed("Use HTTP/1.1; the end of an answer cannot be told from a broken connection before it");
        }
        if (REJECTED_METHODS.contains(exchange.getRequestMethod())) {
            throw new CicadaleadException(
                    ErrorKind.METHOD_NOT_ALLOWED, "The method " + exchange.getRequestMethod() + " is not forwarded");
        }
        checkHeaderSize(headers);
        long length = parseBodyLength(headers);
        URI target = exchange.getRequestURI();
        String query = target.getRawQuery() == null ? "" : "?" + target.getRawQuery();
        return new RequestHead(
                exchange.getRequestMethod(),
                target.getRawPath() + query,
                copyHeaders(headers),
                length,
                parseIdempotencyKey(headers));
    }

    /** Finds the route of the service to which a request is addressed. */
    ServiceRoute findRoute(RequestHead head, RoutingIndex index) {
        if (index.state().configuration().version() == 0) {
            throw new CicadaleadException(ErrorKind.NOT_READY, "No configuration has been published yet");
        }
        String path = head.target().split("\\?", 2)[0];
        if (!path.startsWith(SERVICES_PATH)) {
            throw new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "Use /services/NAME/...");
        }
        String name = path.substring(SERVICES_PATH.length()).split("/", 2)[0];
        return tryParse(name, ServiceName::new)
                .flatMap(index::findRoute)
                .orElseThrow(
                        () -> new CicadaleadException(ErrorKind.UNKNOWN_SERVICE, "There is no service '" + name + "'"));
    }

    /** Parses the terms of a request. */
    RequestTerms readTerms(
            RequestIdentifier identifier, RequestHead head, ServiceDefinition service, RoutingIndex index, long now) {
        Map<String, List<String>> headers = head.headers();
        TeamName team = singleValue(headers, HeaderRules.TEAM)
                .map(text -> parseTeam(text, index))
                .orElse(UNNAMED_TEAM);
        Duration timeout = singleValue(headers, HeaderRules.TIMEOUT)
                .map(RequestReader::parseTimeout)
                .filter(requested -> requested.compareTo(service.timeout()) < 0)
                .orElse(service.timeout());
        int urgency = singleValue(headers, HeaderRules.PRIORITY)
                .map(RequestReader::parseUrgency)
                .orElse(RequestTerms.DEFAULT_URGENCY);
        boolean idempotent = head.idempotencyKey().isEmpty()
                && singleValue(headers, HeaderRules.IDEMPOTENT)
                        .map(RequestReader::parseBoolean)
                        .orElse(service.idempotentMethods().contains(head.method()));
        return new RequestTerms(identifier, service.name(), team, urgency, idempotent, now, now + timeout.toNanos());
    }

    private void checkHeaderSize(Headers headers) {
        long bytes = 0;
        for (Map.Entry<String, List<String>> field : headers.entrySet()) {
            for (String value : field.getValue()) {
                bytes += field.getKey().length() + value.length() + SEPARATOR_BYTES;
            }
        }
        if (bytes > limits.headerBytes()) {
            throw new CicadaleadException(
                    ErrorKind.HEADERS_TOO_LARGE, "The header fields may have " + limits.headerBytes() + " bytes");
        }
    }

    /**
     * Returns the declared length of the body. Rejects a request whose length can be interpreted in two ways, as RFC
     * 9112 section 6.3 requires.
     */
    private static long parseBodyLength(Headers headers) {
        List<String> lengths = headers.getOrDefault(HeaderRules.CONTENT_LENGTH, List.of());
        List<String> codings = headers.getOrDefault(HeaderRules.TRANSFER_ENCODING, List.of());
        if (!codings.isEmpty() && !lengths.isEmpty()) {
            throw malformed("Send either Content-Length or Transfer-Encoding");
        }
        if (lengths.size() > 1 || codings.size() > 1) {
            throw malformed("Send the length of the body once");
        }
        if (!codings.isEmpty()) {
            return -1;
        }
        if (lengths.isEmpty()) {
            return 0;
        }
        if (!NUMBER.matcher(lengths.get(0)).matches()) {
            throw malformed("The Content-Length '" + lengths.get(0) + "' is not a number of bytes");
        }
        return Long.parseLong(lengths.get(0));
    }

    private static Optional<String> parseIdempotencyKey(Headers headers) {
        List<String> keys = headers.getOrDefault(HeaderRules.IDEMPOTENCY_KEY, List.of());
        if (keys.isEmpty()) {
            return Optional.empty();
        }
        String key = keys.get(0).strip();
        if (keys.size() > 1 || key.isEmpty() || key.length() > MAX_KEY_CHARACTERS) {
            throw malformed("Send one Idempotency-Key of 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
        return Optional.of(key);
    }

    private static TeamName parseTeam(String text, RoutingIndex index) {
        return tryParse(text.strip(), TeamName::new)
                .filter(index.state().configuration().merged().teams()::containsKey)
                .orElseThrow(() -> new CicadaleadException(
                        ErrorKind.UNKNOWN_TEAM, "There is no team '" + text + "'; see the header " + HeaderRules.TEAM));
    }

    private static Duration parseTimeout(String text) {
        if (!NUMBER.matcher(text.strip()).matches() || Long.parseLong(text.strip()) == 0) {
            throw malformed(HeaderRules.TIMEOUT + " is a whole number of milliseconds above 0");
        }
        return Duration.ofMillis(Long.parseLong(text.strip()));
    }

    /** Returns the urgency. A value that cannot be parsed is ignored (RFC 9218 section 4). */
    private static int parseUrgency(String text) {
        Matcher matcher = URGENCY.matcher(text);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : RequestTerms.DEFAULT_URGENCY;
    }

    private static boolean parseBoolean(String text) {
        return switch (text.strip()) {
            case "true" -> true;
            case "false" -> false;
            default -> throw malformed(HeaderRules.IDEMPOTENT + " is true or false");
        };
    }

    private static Optional<String> singleValue(Map<String, List<String>> headers, String name) {
        List<String> values = headers.getOrDefault(name, List.of());
        if (values.size() > 1) {
            throw malformed("Send the header " + name + " once");
        }
        return values.stream().findFirst();
    }

    private static Map<String, List<String>> copyHeaders(Headers headers) {
        Map<String, List<String>> copies = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> copies.put(name, List.copyOf(values)));
        return copies;
    }

    private static <T> Optional<T> tryParse(String text, java.util.function.Function<String, T> constructor) {
        try {
            return Optional.of(constructor.apply(text));
        } catch (IllegalArgumentException invalidName) {
            return Optional.empty();
        }
    }

    private static CicadaleadException malformed(String detail) {
        return new CicadaleadException(ErrorKind.MALFORMED_REQUEST, detail);
    }
}
