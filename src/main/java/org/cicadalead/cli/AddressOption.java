package org.cicadalead.cli;

import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.security.SharedKeyFile;
import org.cicadalead.model.configuration.NetworkAddress;

/** Defines the options for connecting to an administration port and creates the client. Stateless. */
final class AddressOption {
    private AddressOption() {}

    static Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "address",
                        "ADDRESS:PORT",
                        "administration port of an entry process (" + AdministrationClient.DEFAULT_ADDRESS + ")"))
                .addOption(CommandOptions.optionWithValue(
                        "key-file",
                        "FILE",
                        "file with the shared key to sign with ($" + AdministrationClient.KEY_FILE_VARIABLE + ")"));
    }

    static AdministrationClient createClient(CommandLine arguments) {
        NetworkAddress address = OptionReader.readAddress(arguments, "address", AdministrationClient.DEFAULT_ADDRESS);
        return Optional.ofNullable(arguments.getOptionValue("key-file"))
                .map(keyFile -> new AdministrationClient(address, SharedKeyFile.read(Path.of(keyFile))))
                .orElseGet(() -> new AdministrationClient(address));
    }
}
