package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Commands that show parts of the shared state through the administration port. */
enum ShowCommand implements Subcommand {
    /** Shows pools with their budgets. */
    POOLS("pools", "shows pools, their capacity and budgets"),
    /** Shows hosts. */
    HOSTS("hosts", "shows hosts with pool, health, maintenance and move");

    private final String commandName;
    private final String summary;

    ShowCommand(String commandName, String summary) {
        this.commandName = commandName;
        this.summary = summary;
    }

    @Override
    public String commandName() {
        return commandName;
    }

    @Override
    public String argumentsUsage() {
        return "[--address ADDRESS:PORT]";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead " + commandName + " --address 127.0.0.1:20100");
    }

    @Override
    public Options options() {
        return AddressOption.options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        AdministrationClient client = AddressOption.createClient(arguments);
        JsonNode response = client.parse(client.get("/" + commandName), JsonNode.class);
        console.printResult(response, response.isArray() ? TextTable.ofRows(response) : TextTable.ofFields(response));
        return ExitCode.DONE;
    }
}
