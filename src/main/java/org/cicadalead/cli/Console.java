package org.cicadalead.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import org.cicadalead.adapters.http.JsonExchange;

/**
 * Where a command writes: results to standard output, progress to standard error. Safe for use by several threads.
 *
 * @param output where results go
 * @param errors where progress and errors go
 * @param json whether results are written as JSON
 */
public record Console(PrintStream output, PrintStream errors, boolean json) {
    /** Writes a result: as one line of JSON, or as the given text for people. */
    public void printResult(Object value, String text) {
        output.println(json ? toJson(value) : text);
    }

    /** Writes a line of progress. */
    public void printProgress(String line) {
        errors.println(line);
    }

    /** Returns a value as one line of JSON. */
    public static String toJson(Object value) {
        try {
            return new String(JsonExchange.encode(value), java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
