package org.cicadalead.model.work;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IPv4 address and a port as others write them. Immutable.
 *
 * @param text the address in the form {@code 10.0.0.1:80}
 */
public record SocketAddressText(String text) {
    private static final Pattern FORM = Pattern.compile("((?:[0-9]{1,3}\\.){3}[0-9]{1,3}):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    /** Throws {@link IllegalArgumentException} if the text has another form, or a number out of range. */
    public SocketAddressText {
        if (!isValid(text)) {
            throw new IllegalArgumentException("an address of another form");
        }
    }

    /** Returns the address; empty if the text has another form, or a number out of range. */
    public static Optional<SocketAddressText> parse(String text) {
        return isValid(text) ? Optional.of(new SocketAddressText(text)) : Optional.empty();
    }

    private static boolean isValid(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group(2));
        return port > 0
                && port <= MAX_PORT
                && Arrays.stream(matcher.group(1).split("\\.", -1))
                        .mapToInt(Integer::parseInt)
                        .allMatch(octet -> octet <= MAX_OCTET);
    }
}
