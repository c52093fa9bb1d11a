package org.cicadalead.cli;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.planning.WaveRoutes.WaveRequest;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.identity.ZoneName;

/** Defines and parses the options that describe a maintenance wave. Stateless. */
final class WaveOptions {
    private static final int DEFAULT_TOLERATED_FAILURES = 2;

    private WaveOptions() {}

    static Options reasonOptions() {
        return AddressOption.options().addOption(option("reason", "TEXT", "why, for the time line"));
    }

    static Options selectionOptions() {
        return reasonOptions()
                .addOption(option("pools", "POOL,..", "only hosts of these pools"))
                .addOption(option("racks", "RACK,..", "only hosts on these racks"))
                .addOption(option("zones", "ZONE,..", "only hosts in these availability zones"))
                .addOption(option("hosts", "HOST,..", "only these hosts"))
                .addOption(option("tolerate", "N", "failed hosts after which the wave stops (2)"));
    }

    static WaveRequest parseRequest(String name, CommandLine arguments) {
        try {
            WaveSelection selection = new WaveSelection(
                    parseList(arguments, "pools", PoolName::new),
                    parseList(arguments, "racks", RackName::new),
                    parseList(arguments, "zones", ZoneName::new),
                    parseList(arguments, "hosts", HostName::new));
            int toleratedFailures =
                    Integer.parseInt(arguments.getOptionValue("tolerate", String.valueOf(DEFAULT_TOLERATED_FAILURES)));
            String reason = arguments.getOptionValue("reason", "started by an operator");
            return new WaveRequest(new WaveIdentifier(name), selection, WaveAction.REBOOT, reason, toleratedFailures);
        } catch (IllegalArgumentException invalid) {
            throw OptionReader.badUsage(invalid.getMessage());
        }
    }

    private static <T> List<T> parseList(CommandLine arguments, String option, Function<String, T> constructor) {
        String text = arguments.getOptionValue(option, "");
        return text.isEmpty()
                ? List.of()
                : Arrays.stream(text.split(",", -1)).map(constructor).toList();
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .build();
    }
}
