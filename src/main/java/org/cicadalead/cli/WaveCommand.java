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

/** The commands on maintenance waves. */
enum WaveCommand implements Subcommand {
    /** Starts a wave. */
    START(
            "wave start",
            "NAME --reason TEXT [--pools P,..] [--racks R,..] [--zones Z,..]",
            "starts a maintenance wave") {
        @Override
        public Options options() {
            return WaveOptions.selection();
        }

        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            String name = OptionReader.onlyArgument(arguments, "wave");
            WaveRequest request = WaveOptions.request(name, arguments);
            AddressOption.client(arguments).post("/waves/start", request);
            console.result(request, "The wave '" + name + "' has started; see: cicadalead wave list");
            return ExitCode.DONE;
        }
    },
    /** Shows what a wave would do. */
    PLAN(
            "plan",
            "[--pools P,..] [--racks R,..] [--zones Z,..]",
            "shows what a wave would do, before anything is done") {
        @Override
        public Options options() {
            return WaveOptions.selection();
        }

        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            AdministrationClient client = AddressOption.client(arguments);
            String answer = client.post("/plan", WaveOptions.request("preview", arguments));
            JsonNode plan = client.parse(answer, JsonNode.class);
            console.result(plan, describe(plan));
            return ExitCode.DONE;
        }
    },
    /** Lists waves. */
    LIST("wave list", "", "lists maintenance waves, and why the next host waits") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            AdministrationClient client = AddressOption.client(arguments);
            JsonNode waves = client.parse(client.get("/waves"), JsonNode.class);
            console.result(waves, TextTable.ofRows(waves));
            return ExitCode.DONE;
        }
    },
    /** Pauses a wave. */
    PAUSE("wave pause", "NAME", "grants no further host until the wave is resumed") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            return change(OptionReader.onlyArgument(arguments, "wave"), WaveChange.PAUSE, arguments, console);
        }
    },
    /** Resumes a wave. */
    RESUME("wave resume", "NAME", "goes on with a paused or stopped wave") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            return change(OptionReader.onlyArgument(arguments, "wave"), WaveChange.RESUME, arguments, console);
        }
    },
    /** Aborts a wave. */
    ABORT("wave abort", "NAME", "gives a wave up; hosts under way finish, held hosts return") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            return change(OptionReader.onlyArgument(arguments, "wave"), WaveChange.ABORT, arguments, console);
        }
    },
    /** Drains a host and holds it. */
    DRAIN("drain", "HOST [--reason TEXT]", "takes a host out of service and holds it, within the budgets") {
        @Override
        public Options options() {
            return WaveOptions.reason();
        }

        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            String host = OptionReader.onlyArgument(arguments, "host");
            WaveRequest request = new WaveRequest(
                    new WaveIdentifier("drain-" + host),
                    WaveSelection.of(new HostName(host)),
                    WaveAction.HOLD,
                    arguments.getOptionValue("reason", "drained by an operator"),
                    0);
            AddressOption.client(arguments).post("/waves/start", request);
            console.result(
                    request, "The host drains as soon as the budgets allow; return it with: cicadalead return " + host);
            return ExitCode.DONE;
        }
    },
    /** Returns a drained host. */
    RETURN("return", "HOST", "returns a drained host to its pool") {
        @Override
        public ExitCode run(CommandLine arguments, Console console) {
            String host = OptionReader.onlyArgument(arguments, "host");
            return change("drain-" + host, WaveChange.ABORT, arguments, console);
        }
    };

    private final String words;
    private final String argumentsUsage;
    private final String summary;

    WaveCommand(String words, String argumentsUsage, String summary) {
        this.words = words;
        this.argumentsUsage = argumentsUsage;
        this.summary = summary;
    }

    @Override
    public String words() {
        return words;
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
            case PAUSE, RESUME, ABORT -> List.of("cicadalead " + words + " kernel-7");
            case DRAIN, RETURN -> List.of("cicadalead " + words + " kingston-01");
        };
    }

    @Override
    public Options options() {
        return AddressOption.options();
    }

    private static ExitCode change(String wave, WaveChange change, CommandLine arguments, Console console) {
        ChangeRequest request = new ChangeRequest(new WaveIdentifier(wave), change);
        AddressOption.client(arguments).post("/waves/change", request);
        console.result(request, "Done");
        return ExitCode.DONE;
    }

    private static String describe(JsonNode plan) {
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
