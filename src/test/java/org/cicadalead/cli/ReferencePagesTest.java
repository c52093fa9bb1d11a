package org.cicadalead.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cicadalead.adapters.toml.ConfigurationUnitReader;
import org.cicadalead.adapters.toml.EntrySettingsReader;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReferencePagesTest {
    private static final Path PAGES = Path.of("docs", "operators");
    private static final Pattern KNOWN_KEYS = Pattern.compile("Known keys here: ([a-z, -]+)");
    private static final String UNKNOWN_KEY = "quite-unlike-any-other-key = 1\n";

    @Test
    void eventPageMatchesCode() throws IOException {
        assertEquals(ReferenceCommand.eventCatalogue(), Files.readString(PAGES.resolve("events.md")));
    }

    @Test
    void errorPageMatchesCode() throws IOException {
        assertEquals(ReferenceCommand.errorTable(), Files.readString(PAGES.resolve("errors.md")));
    }

    @Test
    void eventNumbersAreUnique() {
        long numbers = Arrays.stream(EventKind.values())
                .map(EventKind::number)
                .distinct()
                .count();
        assertEquals(EventKind.values().length, numbers);
    }

    @Test
    void settingsPageListsAcceptedKeys() throws IOException {
        CicadaleadException failure =
                assertThrows(CicadaleadException.class, () -> EntrySettingsReader.parse("entry.toml", UNKNOWN_KEY));
        Set<String> documentedKeys = extractKeys(readTableRows("settings.md"), 1);
        assertEquals(documentedKeys, parseKnownKeys(String.valueOf(failure.getMessage())));
    }

    @ParameterizedTest
    @ValueSource(strings = {"zone", "host", "pool", "service", "team"})
    void configurationPageListsAcceptedKeys(String table) throws IOException {
        assertEquals(findDocumentedKeys("[[" + table + "]]"), findAcceptedKeys("[[" + table + "]]\n" + UNKNOWN_KEY));
    }

    @Test
    void configurationPageListsAcceptedDeploymentKeys() throws IOException {
        assertEquals(findDocumentedKeys("[deployment]"), findAcceptedKeys("[deployment]\n" + UNKNOWN_KEY));
    }

    private static Set<String> findAcceptedKeys(String text) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        ConfigurationUnitReader.read("unit.toml", text, problems);
        return parseKnownKeys(
                problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
    }

    private static Set<String> parseKnownKeys(String text) {
        Matcher matcher = KNOWN_KEYS.matcher(text);
        assertEquals(true, matcher.find(), text);
        return new TreeSet<>(Arrays.asList(matcher.group(1).split(", ")));
    }

    private static Set<String> findDocumentedKeys(String table) throws IOException {
        List<String> rows = new ArrayList<>();
        boolean isInTable = false;
        for (String row : readTableRows("configuration.md")) {
            String firstCell = row.split("\\|", -1)[1].strip();
            isInTable = firstCell.isEmpty() ? isInTable : firstCell.equals("`" + table + "`");
            if (isInTable) {
                rows.add(row);
            }
        }
        return extractKeys(rows, 2);
    }

    private static Set<String> extractKeys(Collection<String> rows, int column) {
        return rows.stream()
                .map(row -> row.split("\\|", -1)[column].strip())
                .filter(cell -> cell.startsWith("`"))
                .map(cell -> cell.replace("`", ""))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static List<String> readTableRows(String page) throws IOException {
        try (Stream<String> lines = Files.lines(PAGES.resolve(page))) {
            return lines.filter(line -> line.startsWith("| ")).toList();
        }
    }
}
