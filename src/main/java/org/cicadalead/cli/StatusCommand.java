package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Shows one process's view: offset, configuration, members, and the processes that moves wait for. Stateless. */
final class StatusCommand implements Subcommand {
    @Override
    public String commandName() {
        return "status";
    }

    @Override
    public String argumentsUsage() {
        return "[--address ADDRESS:PORT]";
    }

    @Override
    public String summary() {
        return "shows an entry process's view of the whole";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead status --address 127.0.0.1:20100");
    }

    @Override
    public Options options() {
        return AddressOption.options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        AdministrationClient client = AddressOption.createClient(arguments);
        JsonNode response = client.parse(client.get("/status"), JsonNode.class);
        console.printResult(response, console.json() ? "" : formatStatus(response));
        return ExitCode.DONE;
    }

    private static String formatStatus(JsonNode response) {
        JsonNode membership = response.path("membership");
        ObjectNode summary = response.deepCopy();
        summary.remove("membership");
        summary.put("member", membership.path("member").asBoolean());
        summary.put("reachableZones", membership.path("reachableZones").toString());
        String lineSeparator = System.lineSeparator();
        StringBuilder text = new StringBuilder(TextTable.ofFields(summary));
        text.append(lineSeparator).append(lineSeparator).append("Members").append(lineSeparator);
        text.append(TextTable.ofRows(membership.path("members")));
        if (!membership.path("blocked").isEmpty()) {
            text.append(lineSeparator)
                    .append(lineSeparator)
                    .append("Moves in progress")
                    .append(lineSeparator);
            text.append(TextTable.ofRows(membership.path("blocked")));
        }
        return text.toString();
    }
}
