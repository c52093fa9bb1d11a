package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads values that others wrote. Unless it says otherwise, a method throws {@link IllegalArgumentException} for a
 * value of another type or out of range; absent values have a default. Stateless; safe for use by several threads.
 */
final class CheckedJson {
    /** Highest number that every writer and reader of JSON represents exactly. */
    static final long MAX_NUMBER = 1L << 53;

    private CheckedJson() {}

    /** Returns a text that is not empty. */
    static String requireText(JsonNode value) {
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new IllegalArgumentException("no text");
        }
        return value.textValue();
    }

    /** Returns a text, which is empty if the value is absent. */
    static String textOf(JsonNode value) {
        if (value.isMissingNode()) {
            return "";
        }
        if (!value.isTextual()) {
            throw new IllegalArgumentException("no text");
        }
        return value.textValue();
    }

    /** Returns a number from 0 to a maximum, which is at most {@link #MAX_NUMBER}; cuts off a fraction. */
    static long requireNumber(JsonNode value, long maximum) {
        long number = numberOr(value, -1, maximum);
        if (number < 0) {
            throw new IllegalArgumentException("no number from 0 to " + maximum);
        }
        return number;
    }

    /** Returns a number as {@link #requireNumber}; the default if the value is absent. */
    static long numberOf(JsonNode value, long defaultValue, long maximum) {
        return value.isMissingNode() ? defaultValue : requireNumber(value, maximum);
    }

    /** Returns a whole number from 0 to a maximum; the default if the value is absent. */
    static long wholeNumberOf(JsonNode value, long defaultValue, long maximum) {
        if (!value.isMissingNode() && !value.canConvertToExactIntegral()) {
            throw new IllegalArgumentException("no whole number");
        }
        return numberOf(value, defaultValue, maximum);
    }

    /** Returns a whole number from 0 to a maximum. */
    static long requireWholeNumber(JsonNode value, long maximum) {
        if (value.isMissingNode()) {
            throw new IllegalArgumentException("no whole number");
        }
        return wholeNumberOf(value, 0, maximum);
    }

    /** Returns a number from 0 to a maximum; the default for any other value. Throws nothing. */
    static long numberOr(JsonNode value, long defaultValue, long maximum) {
        boolean isInRange = value.isNumber()
                && value.canConvertToLong()
                && value.doubleValue() >= 0
                && value.longValue() <= maximum;
        return isInRange ? value.longValue() : defaultValue;
    }

    /** Returns a finite number that is not negative; the default for any other value. Throws nothing. */
    static double decimalOr(JsonNode value, double defaultValue) {
        double number = value.isNumber() ? value.doubleValue() : defaultValue;
        return Double.isFinite(number) && number >= 0 ? number : defaultValue;
    }

    /** Returns a truth value, for which a whole number may stand; false if the value is absent. */
    static boolean flagOf(JsonNode value) {
        if (value.isBoolean()) {
            return value.booleanValue();
        }
        return wholeNumberOf(value, 0, MAX_NUMBER) > 0;
    }

    /** Returns the elements of an array; none if the value is absent. */
    static List<JsonNode> rowsOf(JsonNode value) {
        if (!value.isMissingNode() && !value.isArray()) {
            throw new IllegalArgumentException("no array");
        }
        List<JsonNode> rows = new ArrayList<>();
        value.forEach(rows::add);
        return rows;
    }

    /** Returns the elements of an array of texts; none if the value is absent. */
    static List<String> textsOf(JsonNode value) {
        return rowsOf(value).stream().map(CheckedJson::requireText).toList();
    }
}
