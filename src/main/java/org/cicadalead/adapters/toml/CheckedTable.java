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
 * A TOML table that is read key by key; every error is collected with its place instead of thrown. After all keys have
 * been asked for, {@link #rejectUnknownKeys} reports the others. Not safe for use by several threads.
 */
public final class CheckedTable {
    private final String file;
    private final TomlTable table;
    private final SourcePlace place;
    private final List<ConfigurationProblem> problems;
    private final Set<String> knownKeys = new HashSet<>();

    /** Wraps a table that stands at a place of a file; errors go to the given list. */
    public CheckedTable(String file, TomlTable table, SourcePlace place, List<ConfigurationProblem> problems) {
        this.file = file;
        this.table = table;
        this.place = place;
        this.problems = problems;
    }

    /** Returns where the table stands. */
    public SourcePlace place() {
        return place;
    }

    /** Returns where a key stands, or the table's place when it is missing. */
    public SourcePlace placeOf(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? place : new SourcePlace(file, position.line(), position.column());
    }

    /** Reads a text that must be there. */
    public Optional<String> requiredText(String key) {
        Optional<String> value = optionalText(key);
        reportMissing(key, "a text");
        return value;
    }

    /** Reads a text that may be missing. */
    public Optional<String> optionalText(String key) {
        return readTyped(key, String.class, "a text in quotation marks");
    }

    /** Reads a text that must be there and turns it into another type. */
    public <T> Optional<T> required(String key, Function<String, T> parser) {
        return requiredText(key).flatMap(text -> parse(placeOf(key), text, parser));
    }

    /** Reads a text that may be missing and turns it into another type. */
    public <T> Optional<T> optional(String key, Function<String, T> parser) {
        return optionalText(key).flatMap(text -> parse(placeOf(key), text, parser));
    }

    /** Reads a whole number that must be there and lies within bounds. */
    public Optional<Integer> requiredNumber(String key, int minimum, int maximum) {
        Optional<Integer> value = optionalNumber(key, minimum, maximum);
        reportMissing(key, "a whole number");
        return value;
    }

    /** Reads a whole number that may be missing and lies within bounds. */
    public Optional<Integer> optionalNumber(String key, int minimum, int maximum) {
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

    /** Reads a truth value that may be missing. */
    public Optional<Boolean> optionalFlag(String key) {
        return readTyped(key, Boolean.class, "true or false");
    }

    /** Reads a list of texts, each turned into another type together with its place; a missing list is empty. */
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

    /** Reads a table that may be missing. */
    public Optional<CheckedTable> optionalTable(String key) {
        return readTyped(key, TomlTable.class, "a table")
                .map(child -> new CheckedTable(file, child, placeOf(key), problems));
    }

    /** Reads a list of tables ({@code [[key]]}); a missing list is empty. */
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

    /** Returns a text without checking anything; empty when there is none. */
    Optional<String> peekText(String key) {
        return table.get(List.of(key)) instanceof String text ? Optional.of(text) : Optional.empty();
    }

    /** Returns the texts of a list without checking anything; empty when there is no list. */
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

    /** Reports every key that was not asked for, with the nearest known one. */
    public void rejectUnknownKeys() {
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
    public void reportProblem(SourcePlace where, String message, String advice) {
        problems.add(new ConfigurationProblem(where, message, advice));
    }

    private <T> Optional<T> parse(SourcePlace where, String text, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException invalid) {
            reportProblem(where, String.valueOf(invalid.getMessage()), "Correct the value");
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
     * Turns a text at a place into a value, and throws {@link IllegalArgumentException} when it cannot.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    public interface PlacedParser<T> {
        /** Parses the text. */
        T parse(String text, SourcePlace place);
    }
}
