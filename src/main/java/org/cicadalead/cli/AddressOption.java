package org.cicadalead.cli;

import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.security.SharedKeyFile;
import org.cicadalead.model.configuration.NetworkAddress;

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
                        .build())
                .addOption(Option.builder()
                        .longOpt("key-file")
                        .hasArg()
                        .argName("FILE")
                        .desc("file with the shared key to sign with ($" + AdministrationClient.KEY_FILE_VARIABLE + ")")
                        .build());
    }

    static AdministrationClient client(CommandLine arguments) {
        NetworkAddress address = OptionReader.address(arguments, "address", AdministrationClient.DEFAULT_ADDRESS);
        return Optional.ofNullable(arguments.getOptionValue("key-file"))
                .map(file -> new AdministrationClient(address, SharedKeyFile.read(Path.of(file))))
                .orElseGet(() -> new AdministrationClient(address));
    }
}
