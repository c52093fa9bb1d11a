package org.cicadalead.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The option that names an administration port. Stateless. */
final class AddressOption {
    private AddressOption() {}

    static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("address")
                        .hasArg()
                        .argName("ADDRESS:PORT")
                        .desc("administration port of an entry process (" + AdministrationClient.DEFAULT_ADDRESS + ")")
                        .build());
    }

    static AdministrationClient client(CommandLine arguments) {
        return new AdministrationClient(
                OptionReader.address(arguments, "address", AdministrationClient.DEFAULT_ADDRESS));
    }
}
