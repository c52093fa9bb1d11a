package org.cicadalead.adapters.toml;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cicadalead.logic.configuration.NearestName;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.SourcePlace;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A TOML table that is read key by key. Errors are collected with their places instead of thrown. After all known keys
 * were read, {@link #reportUnknownKeys} reports the others. Not safe for use by several threads.
 */
public final class CheckedTable {
    private final String file;
    private final TomlTable table;
    private final SourcePlace place;
    private final List<ConfigurationProblem> problems;
    private final Set<String> knownKeys = new HashSet<>();

    /** Wraps a table at a place in a file; errors are added to the given list. */
    public CheckedTable(String file, TomlTable table, SourcePlace place, List<ConfigurationProblem> problems) {
        this.file = file;
        this.table = table;
        this.place = place;
        this.problems = problems;
    }

    /** Returns the place of the table. */
    public SourcePlace place() {
        return place;
    }

    /** Returns the place of a key, or the place of the table when the key is missing. */
    public SourcePlace placeOf(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? place : new SourcePlace(file, position.line(), position.column());
    }

    /** Reads a required text. */
    public Optional<String> readRequiredText(String key) {
        Optional<String> value = readOptionalText(key);
        reportMissing(key, "a text");
        return value;
    }

    /** Reads an optional text. */
    public Optional<String> readOptionalText(String key) {
        return readTyped(key, String.class, "a text in quotation marks");
    }

    /** Reads a required text and parses it. */
    public <T> Optional<T> readRequired(String key, Function<String, T> parser) {
        return readRequiredText(key).flatMap(text -> parse(placeOf(key), text, parser));
    }

    /** Reads an optional text and parses it. */
    public <T> Optional<T> readOptional(String key, Function<String, T> parser) {
        return readOptionalText(key).flatMap(text -> parse(placeOf(key), text, parser));
    }

    /** Reads a required whole number within bounds. */
    public Optional<Integer> readRequiredNumber(String key, int minimum, int maximum) {
        Optional<Integer> value = readOptionalNumber(key, minimum, maximum);
        reportMissing(key, "a whole number");
        return value;
    }

    /** Reads an optional whole number within bounds. */
    public Optional<Integer> readOptionalNumber(String key, int minimum, int maximum) {
        Optional<Long> value = readTyped(key, Long.class, "a whole number");
        if (value.isPresent() && (value.get() < minimum || value.get() > maximum)) {
            reportProblem(
                    placeOf(key),
                    "'" + key + "' is " + value.get() + " and must lie between " + minimum + " and " + maximum,
                    "Correct the number");
            return Optional.empty();
        }
        return value.map(Long::intValue);
    }

    /** Reads an optional boolean. */
    public Optional<Boolean> readOptionalBoolean(String key) {
        return readTyped(key, Boolean.class, "true or false");
    }

    /** Reads a list of texts and parses each with its place; returns an empty list when the key is missing. */
    public <T> List<T> readTexts(String key, PlacedParser<T> parser) {
        List<T> values = new ArrayList<>();
        Optional<TomlArray> array = readTyped(key, TomlArray.class, "a list of texts");
        for (int index = 0; array.isPresent() && index < array.get().size(); index++) {
            SourcePlace elementPlace = placeOf(array.get().inputPositionOf(index));
            if (array.get().get(index) instanceof String text) {
                parse(elementPlace, text, value -> parser.parse(value, elementPlace))
                        .ifPresent(values::add);
            } else {
                reportProblem(elementPlace, "'" + key + "' must hold texts only", "Put the value in quotation marks");
            }
        }
        return values;
    }

    /** Reads an optional table. */
    public Optional<CheckedTable> readOptionalTable(String key) {
        return readTyped(key, TomlTable.class, "a table")
                .map(child -> new CheckedTable(file, child, placeOf(key), problems));
    }

    /** Reads a list of tables ({@code [[key]]}); returns an empty list when the key is missing. */
    public List<CheckedTable> readTables(String key) {
        List<CheckedTable> tables = new ArrayList<>();
        Optional<TomlArray> array = readTyped(key, TomlArray.class, "a list of tables, written [[" + key + "]]");
        for (int index = 0; array.isPresent() && index < array.get().size(); index++) {
            SourcePlace elementPlace = placeOf(array.get().inputPositionOf(index));
            if (array.get().get(index) instanceof TomlTable child) {
                tables.add(new CheckedTable(file, child, elementPlace, problems));
            } else {
                reportProblem(elementPlace, "'" + key + "' must be a list of tables", "Write [[" + key + "]]");
            }
        }
        return tables;
    }

    /** Returns a text without checks; empty when there is no text at the key. */
    Optional<String> peekText(String key) {
        return table.get(List.of(key)) instanceof String text ? Optional.of(text) : Optional.empty();
    }

    /** Returns the texts of a list without checks; empty when there is no list at the key. */
    List<String> peekTexts(String key) {
        List<String> texts = new ArrayList<>();
        if (table.get(List.of(key)) instanceof TomlArray array) {
            array.toList().stream()
                    .filter(String.class::isInstance)
                    .map(String.class::cast)
                    .forEach(texts::add);
        }
        return texts;
    }

    /** Reports every key that was not read, with the most similar known key. */
    public void reportUnknownKeys() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                reportProblem(
                        placeOf(key),
                        "unknown key '" + key + "'",
                        NearestName.find(key, knownKeys)
                                .map(nearest -> "Did you mean '" + nearest + "'?")
                                .orElse("Known keys here: " + String.join(", ", new java.util.TreeSet<>(knownKeys))));
            }
        }
    }

    /** Reports an error at a place. */
    public void reportProblem(SourcePlace problemPlace, String message, String advice) {
        problems.add(new ConfigurationProblem(problemPlace, message, advice));
    }

    private <T> Optional<T> parse(SourcePlace problemPlace, String text, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException invalid) {
            reportProblem(problemPlace, String.valueOf(invalid.getMessage()), "Correct the value");
            return Optional.empty();
        }
    }

    private <T> Optional<T> readTyped(String key, Class<T> type, String expected) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (!type.isInstance(value)) {
            reportProblem(placeOf(key), "'" + key + "' must be " + expected, "Correct the type of the value");
            return Optional.empty();
        }
        return Optional.of(type.cast(value));
    }

    private void reportMissing(String key, String expected) {
        if (!table.contains(List.of(key))) {
            reportProblem(place, "'" + key + "' is missing", "Add '" + key + "', " + expected);
        }
    }

    private SourcePlace placeOf(TomlPosition position) {
        return new SourcePlace(file, position.line(), position.column());
    }

    /**
     * Parses a text at a place; throws {@link IllegalArgumentException} when the text is invalid.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    public interface PlacedParser<T> {
        /** Parses the text. */
        T parse(String text, SourcePlace place);
    }
}
