package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Commands that show and cancel long jobs through the administration port. */
enum JobsCommand implements Subcommand {
    /** Shows one job. */
    SHOW("jobs show", "JOB ", "shows one long job", "jobs show nightly-index") {
        @Override
        JsonNode sendRequest(AdministrationClient client, CommandLine arguments) {
            return client.parse(
                    client.get("/jobs/" + OptionReader.requireSingleArgument(arguments, "job")), JsonNode.class);
        }
    },
    /** Cancels one job. */
    CANCEL("jobs cancel", "JOB ", "cancels one long job", "jobs cancel nightly-index") {
        @Override
        JsonNode sendRequest(AdministrationClient client, CommandLine arguments) {
            String job = OptionReader.requireSingleArgument(arguments, "job");
            return client.parse(client.post("/job-cancellations", job), JsonNode.class);
        }
    },
    /** Lists jobs. */
    LIST("jobs", "", "lists long jobs, the unfinished ones first", "jobs") {
        @Override
        JsonNode sendRequest(AdministrationClient client, CommandLine arguments) {
            return client.parse(client.get("/jobs"), JsonNode.class);
        }
    };

    private final String commandName;
    private final String argumentUsage;
    private final String summary;
    private final String example;

    JobsCommand(String commandName, String argumentUsage, String summary, String example) {
        this.commandName = commandName;
        this.argumentUsage = argumentUsage;
        this.summary = summary;
        this.example = example;
    }

    abstract JsonNode sendRequest(AdministrationClient client, CommandLine arguments);

    @Override
    public String commandName() {
        return commandName;
    }

    @Override
    public String argumentsUsage() {
        return argumentUsage + "[--address ADDRESS:PORT]";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead " + example + " --address 127.0.0.1:20100");
    }

    @Override
    public Options options() {
        return AddressOption.options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        JsonNode response = sendRequest(AddressOption.createClient(arguments), arguments);
        console.printResult(response, response.isArray() ? TextTable.ofRows(response) : TextTable.ofFields(response));
        return ExitCode.DONE;
    }
}
