package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Removes a member whose host is known to be stopped. Stateless. */
final class RemoveMemberCommand implements Subcommand {
    private static final String STOPPED = "its-host-is-stopped";

    @Override
    public String words() {
        return "members remove";
    }

    @Override
    public String argumentsUsage() {
        return "PROCESS --" + STOPPED;
    }

    @Override
    public String summary() {
        return "removes a member that ended without leaving and cannot be reached";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead members remove 1f0c6a52-1c8e-4b6e-9d39-5a1f0f7c2b11 --" + STOPPED);
    }

    @Override
    public Options options() {
        return AddressOption.options()
                .addOption(Option.builder()
                        .longOpt(STOPPED)
                        .desc("your word that the process cannot send anything any more; a host that it may still"
                                + " reach could otherwise get work of two pools")
                        .build());
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String process = OptionReader.onlyArgument(arguments, "process");
        if (!arguments.hasOption(STOPPED)) {
            throw OptionReader.badUsage("Stop the process's host first, then say so with --" + STOPPED);
        }
        AdministrationClient client = AddressOption.client(arguments);
        JsonNode answer = client.parse(client.post("/members/remove", Map.of("process", process)), JsonNode.class);
        console.result(answer, answer.toString());
        return "accepted".equals(answer.path("type").asText()) ? ExitCode.DONE : ExitCode.FAILED;
    }
}
