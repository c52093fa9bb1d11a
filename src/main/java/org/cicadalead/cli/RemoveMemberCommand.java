package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Removes a member after the operator has confirmed that its host is stopped. Stateless. */
final class RemoveMemberCommand implements Subcommand {
    private static final String HOST_STOPPED_OPTION = "its-host-is-stopped";

    @Override
    public String commandName() {
        return "members remove";
    }

    @Override
    public String argumentsUsage() {
        return "PROCESS --" + HOST_STOPPED_OPTION;
    }

    @Override
    public String summary() {
        return "removes a member that ended without leaving and cannot be reached";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead members remove 1f0c6a52-1c8e-4b6e-9d39-5a1f0f7c2b11 --" + HOST_STOPPED_OPTION);
    }

    @Override
    public Options options() {
        return AddressOption.options()
                .addOption(Option.builder()
                        .longOpt(HOST_STOPPED_OPTION)
                        .desc("your word that the process cannot send anything any more; a host that it may still"
                                + " reach could otherwise get work of two pools")
                        .build());
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String process = OptionReader.requireSingleArgument(arguments, "process");
        if (!arguments.hasOption(HOST_STOPPED_OPTION)) {
            throw OptionReader.badUsage("Stop the process's host first, then say so with --" + HOST_STOPPED_OPTION);
        }
        AdministrationClient client = AddressOption.createClient(arguments);
        JsonNode response = client.parse(client.post("/members/remove", Map.of("process", process)), JsonNode.class);
        console.printResult(response, response.toString());
        return "accepted".equals(response.path("type").asText()) ? ExitCode.DONE : ExitCode.FAILED;
    }
}
