package org.cicadalead.adapters.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobSubmission;

/** Reads job submissions from HTTP requests. Stateless; safe for use by several threads. */
final class JobRequestReader {
    /** Header that names the caller's team. */
    static final String TEAM_HEADER = "Request-Team";

    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String PRIORITY_HEADER = "Priority";
    private static final Pattern URGENCY = Pattern.compile("(?:^|[,\\s])u=([0-7])(?:$|[,;\\s])");
    private static final int MAX_BODY_BYTES = 16_384;
    private static final ObjectMapper MAPPER =
            DomainMappers.json().disable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    private static final int KEY_DIGEST_CHARACTERS = 32;

    private JobRequestReader() {}

    /**
     * Reads a submission from headers and body.
     *
     * @throws CicadaleadException if the request is malformed or too large, or names no valid team
     */
    static JobSubmission read(HttpExchange exchange) throws IOException {
        Headers headers = exchange.getRequestHeaders();
        TeamName team = readTeam(headers);
        JobRequest request = parse(exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1));
        try {
            return new JobSubmission(
                    readIdentifier(headers, team),
                    team,
                    new PoolName(request.pool()),
                    new JobSize(
                            request.processors(),
                            request.memoryGigabytes(),
                            request.accelerators().orElse(0)),
                    readUrgency(headers),
                    request.idempotent().orElse(false),
                    request.payload());
        } catch (IllegalArgumentException invalid) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, invalid.getMessage(), invalid);
        }
    }

    private static JobRequest parse(byte[] body) throws IOException {
        if (body.length > MAX_BODY_BYTES) {
            throw new CicadaleadException(
                    ErrorKind.BODY_TOO_LARGE, "A submission may have at most " + MAX_BODY_BYTES + " bytes");
        }
        try {
            return MAPPER.readValue(body, JobRequest.class);
        } catch (JsonProcessingException malformed) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST,
                    "The body is not the expected JSON: " + malformed.getOriginalMessage(),
                    malformed);
        }
    }

    /** Reads the caller's team from the headers. */
    static TeamName readTeam(Headers headers) {
        String team = headers.getFirst(TEAM_HEADER);
        if (team == null) {
            throw new CicadaleadException(ErrorKind.UNKNOWN_TEAM, "Name the team in the header " + TEAM_HEADER);
        }
        try {
            return new TeamName(team);
        } catch (IllegalArgumentException invalid) {
            throw new CicadaleadException(ErrorKind.UNKNOWN_TEAM, invalid.getMessage(), invalid);
        }
    }

    /**
     * Derives the identifier from the team and the idempotency key, so that every entry process maps the same key to
     * the same job. Without a key the identifier is random.
     */
    private static JobIdentifier readIdentifier(Headers headers, TeamName team) {
        String key = headers.getFirst(KEY_HEADER);
        if (key == null || key.isBlank()) {
            return new JobIdentifier(UUID.randomUUID().toString());
        }
        String input = team + "\n" + key.strip();
        return new JobIdentifier("key-" + digest(input).substring(0, KEY_DIGEST_CHARACTERS));
    }

    private static int readUrgency(Headers headers) {
        return Optional.ofNullable(headers.getFirst(PRIORITY_HEADER))
                .map(URGENCY::matcher)
                .filter(Matcher::find)
                .map(matcher -> Integer.parseInt(matcher.group(1)))
                .orElse(JobSubmission.DEFAULT_URGENCY);
    }

    private static String digest(String input) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(input.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException missing) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The digest is not available", missing);
        }
    }
}
