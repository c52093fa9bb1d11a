package org.cicadalead.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.LogLine;

/** Reads a log of an entry process, with one line of JSON for each event. Not thread-safe. */
final class LogFileReader {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final Set<String> HEADER = Set.of("time", "number", "kind", "process");

    private final Path file;
    private long lines;
    private long malformedLines;
    private Optional<LogLine> previous = Optional.empty();

    LogFileReader(Path file) {
        this.file = file;
    }

    /**
     * Reads the file and passes on its well-formed lines in their order.
     *
     * @throws CicadaleadException if the file cannot be read
     */
    void read(Consumer<LogLine> consumer) {
        // Malformed characters are replaced, as a process may have ended within one.
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                lines++;
                Optional<LogLine> line = parse(text);
                malformedLines += line.isEmpty() ? 1 : 0;
                line.ifPresent(consumer);
                previous = line.or(() -> previous);
            }
        } catch (IOException failure) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "'" + file + "' cannot be read", failure);
        }
    }

    /** Returns how many lines were malformed; empty when none was. */
    Optional<String> describeMalformedLines() {
        return malformedLines == 0
                ? Optional.empty()
                : Optional.of(file + ": skipped " + malformedLines + " malformed of " + lines + " lines");
    }

    private Optional<LogLine> parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node == null || !node.isObject() || !node.path("kind").isTextual()) {
                return Optional.empty();
            }
            return findTime(node)
                    .map(time -> new LogLine(time, node.path("kind").asText(), findProcess(node), readDetails(node)));
        } catch (JsonProcessingException | DateTimeException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the time of a line; a line about lines that were left out has none, and gets that of the line before. */
    private Optional<Instant> findTime(JsonNode node) {
        return node.has("time") ? Optional.of(Instant.parse(node.path("time").asText())) : previous.map(LogLine::time);
    }

    private String findProcess(JsonNode node) {
        return node.has("process")
                ? node.path("process").asText()
                : previous.map(LogLine::process).orElse("");
    }

    private static Map<String, String> readDetails(JsonNode node) {
        Map<String, String> details = new LinkedHashMap<>();
        node.fields().forEachRemaining(field -> {
            if (!HEADER.contains(field.getKey())) {
                details.put(field.getKey(), field.getValue().asText());
            }
        });
        return details;
    }
}
