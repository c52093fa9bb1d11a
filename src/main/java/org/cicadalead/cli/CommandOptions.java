package org.cicadalead.cli;

import org.apache.commons.cli.Option;

/** Builds options. Stateless. */
final class CommandOptions {
    private CommandOptions() {}

    /** Returns an option that takes a value. */
    static Option optionWithValue(String name, String valueName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(description)
                .build();
    }
}
