package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.planning.WaveRoutes.ChangeRequest;
import org.cicadalead.adapters.planning.WaveRoutes.WaveRequest;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.WaveIdentifier;

/** Commands that plan and control maintenance waves. */
enum WaveCommand implements Subcommand {
    /** Starts a wave. */
    START(
            "wave start",
            "NAME --reason TEXT [--pools P,..] [--racks R,..] [--zones Z,..]",
            "starts a maintenance wave") {
        @Override
        public Options options() {
            return WaveOptions.selectionOptions();
        }

        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            String name = OptionReader.requireSingleArgument(arguments, "wave");
            WaveRequest request = WaveOptions.parseRequest(name, arguments);
            AddressOption.createClient(arguments).post("/waves/start", request);
            console.printResult(request, "The wave '" + name + "' has started; see: cicadalead wave list");
            return ExitCode.DONE;
        }
    },
    /** Shows the plan of a wave without starting it. */
    PLAN(
            "plan",
            "[--pools P,..] [--racks R,..] [--zones Z,..]",
            "shows what a wave would do, before anything is done") {
        @Override
        public Options options() {
            return WaveOptions.selectionOptions();
        }

        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            AdministrationClient client = AddressOption.createClient(arguments);
            String response = client.post("/plan", WaveOptions.parseRequest("preview", arguments));
            JsonNode plan = client.parse(response, JsonNode.class);
            console.printResult(plan, formatPlan(plan));
            return ExitCode.DONE;
        }
    },
    /** Lists waves. */
    LIST("wave list", "", "lists maintenance waves, and why the next host waits") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            AdministrationClient client = AddressOption.createClient(arguments);
            JsonNode waves = client.parse(client.get("/waves"), JsonNode.class);
            console.printResult(waves, TextTable.ofRows(waves));
            return ExitCode.DONE;
        }
    },
    /** Pauses a wave. */
    PAUSE("wave pause", "NAME", "grants no further host until the wave is resumed") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            return sendChange(
                    OptionReader.requireSingleArgument(arguments, "wave"), WaveChange.PAUSE, arguments, console);
        }
    },
    /** Resumes a wave. */
    RESUME("wave resume", "NAME", "goes on with a paused or stopped wave") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            return sendChange(
                    OptionReader.requireSingleArgument(arguments, "wave"), WaveChange.RESUME, arguments, console);
        }
    },
    /** Aborts a wave. */
    ABORT("wave abort", "NAME", "gives a wave up; hosts under way finish, held hosts return") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            return sendChange(
                    OptionReader.requireSingleArgument(arguments, "wave"), WaveChange.ABORT, arguments, console);
        }
    },
    /** Drains a host and keeps it out of service. */
    DRAIN("drain", "HOST [--reason TEXT]", "takes a host out of service and holds it, within the budgets") {
        @Override
        public Options options() {
            return WaveOptions.reasonOptions();
        }

        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            String host = OptionReader.requireSingleArgument(arguments, "host");
            WaveRequest request = new WaveRequest(
                    new WaveIdentifier("drain-" + host),
                    WaveSelection.of(new HostName(host)),
                    WaveAction.HOLD,
                    arguments.getOptionValue("reason", "drained by an operator"),
                    0);
            AddressOption.createClient(arguments).post("/waves/start", request);
            console.printResult(
                    request, "The host drains as soon as the budgets allow; return it with: cicadalead return " + host);
            return ExitCode.DONE;
        }
    },
    /** Returns a drained host to service. */
    RETURN("return", "HOST", "returns a drained host to its pool") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            String host = OptionReader.requireSingleArgument(arguments, "host");
            return sendChange("drain-" + host, WaveChange.ABORT, arguments, console);
        }
    };

    private final String commandName;
    private final String argumentsUsage;
    private final String summary;

    WaveCommand(String commandName, String argumentsUsage, String summary) {
        this.commandName = commandName;
        this.argumentsUsage = argumentsUsage;
        this.summary = summary;
    }

    @Override
    public String commandName() {
        return commandName;
    }

    @Override
    public String argumentsUsage() {
        return (argumentsUsage + " [--address ADDRESS:PORT]").strip();
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public List<String> examples() {
        return switch (this) {
            case START -> List.of("cicadalead wave start kernel-7 --pools routes,diet --reason 'new kernel'");
            case PLAN -> List.of("cicadalead plan --zones kingston", "cicadalead plan --json");
            case LIST -> List.of("cicadalead wave list");
            case PAUSE, RESUME, ABORT -> List.of("cicadalead " + commandName + " kernel-7");
            case DRAIN, RETURN -> List.of("cicadalead " + commandName + " kingston-01");
        };
    }

    @Override
    public Options options() {
        return AddressOption.options();
    }

    private static ExitCode sendChange(String wave, WaveChange change, CommandLine arguments, Console console) {
        ChangeRequest request = new ChangeRequest(new WaveIdentifier(wave), change);
        AddressOption.createClient(arguments).post("/waves/change", request);
        console.printResult(request, "Done");
        return ExitCode.DONE;
    }

    private static String formatPlan(JsonNode plan) {
        StringBuilder text = new StringBuilder();
        for (JsonNode step : plan.path("steps")) {
            text.append(String.format(
                    "minute %4d: out %s%s%n",
                    step.path("startsAtMinute").asInt(),
                    step.path("hosts"),
                    step.path("moves").isEmpty() ? "" : ", moves first " + step.path("moves")));
        }
        text.append(String.format(
                "%d minutes, %d moves, least hosts to spare beyond the covered failure: %d%n",
                plan.path("minutes").asInt(),
                plan.path("moves").asInt(),
                plan.path("leastSlack").asInt()));
        plan.path("waiting")
                .forEach(
                        reason -> text.append("waits: ").append(reason.asText()).append(System.lineSeparator()));
        return text.toString().stripTrailing();
    }
}
