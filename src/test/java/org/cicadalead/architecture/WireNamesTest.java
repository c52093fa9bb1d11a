package org.cicadalead.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the wire names of the users' platform appear only in its adapter. */
class WireNamesTest {
    private static final Path SOURCES = Path.of("src", "main", "java", "org", "cicadalead");
    private static final List<String> WIRE_NAMES = List.of(
            "ackPosition",
            "fencingToken",
            "run-start",
            "run-stop",
            "hostMachine",
            "waitMs",
            "jobSteps",
            "fillCount",
            "\"keyed.",
            "log-append",
            "X-Duty-Holder",
            "X-Expected-Instance",
            "cloudApi");

    private static List<Path> findSources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    @Test
    void wireNamesAppearOnlyInPlatformAdapter() throws IOException {
        List<String> found = new ArrayList<>();
        for (Path file : findSources()) {
            String text = Files.readString(file);
            WIRE_NAMES.stream()
                    .filter(name -> !file.startsWith(SOURCES.resolve("platform")) && text.contains(name))
                    .forEach(name -> found.add(file + ": " + name));
        }
        assertEquals(List.of(), found);
    }

    @Test
    void platformAdapterContainsEveryWireName() throws IOException {
        StringBuilder adapter = new StringBuilder();
        for (Path file : findSources()) {
            adapter.append(file.startsWith(SOURCES.resolve("platform")) ? Files.readString(file) : "");
        }
        WIRE_NAMES.forEach(name -> assertTrue(adapter.toString().contains(name), name));
    }
}
