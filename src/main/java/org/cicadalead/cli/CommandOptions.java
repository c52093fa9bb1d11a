package org.cicadalead.cli;

import org.apache.commons.cli.Option;

/** Creates command-line options. Stateless. */
final class CommandOptions {
    private CommandOptions() {}

    /** Creates an option that takes a value. */
    static Option optionWithValue(String name, String valueName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(description)
                .build();
    }
}
