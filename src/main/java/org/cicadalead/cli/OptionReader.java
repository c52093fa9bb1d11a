package org.cicadalead.cli;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Reads options and arguments as typed values, and rejects malformed ones. Stateless. */
final class OptionReader {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");

    private OptionReader() {}

    static Optional<Duration> readDuration(CommandLine arguments, String option) {
        return Optional.ofNullable(arguments.getOptionValue(option)).map(text -> parseDuration(option, text));
    }

    static NetworkAddress readAddress(CommandLine arguments, String option, String defaultAddress) {
        try {
            return NetworkAddress.parse(arguments.getOptionValue(option, defaultAddress));
        } catch (IllegalArgumentException invalid) {
            throw badUsage("--" + option + ": " + invalid.getMessage());
        }
    }

    static String requireSingleArgument(CommandLine arguments, String description) {
        if (arguments.getArgList().size() != 1) {
            throw badUsage("Name exactly one " + description);
        }
        return arguments.getArgList().get(0);
    }

    static CicadaleadException badUsage(String message) {
        return new CicadaleadException(ErrorKind.MALFORMED_REQUEST, message);
    }

    private static Duration parseDuration(String option, String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw badUsage("--" + option + ": '" + text + "' is not a duration such as 500ms, 20s or 5m");
        }
        long count = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(count);
            case "s" -> Duration.ofSeconds(count);
            case "m" -> Duration.ofMinutes(count);
            default -> Duration.ofHours(count);
        };
    }
}
