package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Formats JSON values as text tables. Stateless. */
final class TextTable {
    private TextTable() {}

    /** Formats a list of objects as a table with a header row. */
    static String ofRows(JsonNode rows) {
        List<List<String>> lines = new ArrayList<>();
        for (JsonNode row : rows) {
            if (lines.isEmpty()) {
                lines.add(fieldNames(row));
            }
            List<String> cells = new ArrayList<>();
            row.elements().forEachRemaining(cell -> cells.add(formatCell(cell)));
            lines.add(cells);
        }
        return align(lines);
    }

    /** Formats an object as one line per field. */
    static String ofFields(JsonNode value) {
        List<List<String>> lines = new ArrayList<>();
        value.fields().forEachRemaining(field -> lines.add(List.of(field.getKey(), formatCell(field.getValue()))));
        return align(lines);
    }

    private static List<String> fieldNames(JsonNode row) {
        List<String> names = new ArrayList<>();
        row.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static String formatCell(JsonNode cell) {
        if (cell.isNull()) {
            return "-";
        }
        return cell.isValueNode() ? cell.asText() : cell.toString();
    }

    private static String align(List<List<String>> lines) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> line : lines) {
            for (int column = 0; column < line.size(); column++) {
                if (column == widths.size()) {
                    widths.add(0);
                }
                widths.set(column, Math.max(widths.get(column), line.get(column).length()));
            }
        }
        List<String> formatted = new ArrayList<>();
        for (List<String> line : lines) {
            StringBuilder text = new StringBuilder();
            for (int column = 0; column < line.size(); column++) {
                text.append(String.format("%-" + Math.max(1, widths.get(column)) + "s  ", line.get(column)));
            }
            formatted.add(text.toString().stripTrailing());
        }
        return String.join(System.lineSeparator(), formatted);
    }
}
