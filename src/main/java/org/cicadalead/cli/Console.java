package org.cicadalead.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import org.cicadalead.adapters.http.JsonExchange;

/**
 * Writes the results of a command to standard output, and its progress to standard error. Thread-safe.
 *
 * @param output stream for results
 * @param errors stream for progress and errors
 * @param json whether results are written as JSON
 */
public record Console(PrintStream output, PrintStream errors, boolean json) {
    /** Prints a result: the value as one line of JSON, or else the given text. */
    public void printResult(Object value, String text) {
        output.println(json ? toJson(value) : text);
    }

    /** Prints a line of progress. */
    public void printProgress(String line) {
        errors.println(line);
    }

    /** Encodes a value as one line of JSON. */
    public static String toJson(Object value) {
        try {
            return new String(JsonExchange.encode(value), java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
