package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Moves a host to another pool, or cancels its move. Stateless. */
final class MoveCommand implements Subcommand {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(5);
    private static final long POLL_PERIOD_MILLISECONDS = 200;

    @Override
    public String commandName() {
        return "move";
    }

    @Override
    public String argumentsUsage() {
        return "HOST --to POOL [--wait] [--timeout DURATION] | HOST --cancel";
    }

    @Override
    public String summary() {
        return "moves a host to another pool";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead move kingston-07 --to routes --wait", "cicadalead move kingston-07 --cancel");
    }

    @Override
    public Options options() {
        return AddressOption.options()
                .addOption(CommandOptions.optionWithValue("to", "POOL", "the pool that the host goes to"))
                .addOption(Option.builder()
                        .longOpt("cancel")
                        .desc("give up the move that is in progress")
                        .build())
                .addOption(Option.builder()
                        .longOpt("wait")
                        .desc("wait until the host belongs to the pool")
                        .build())
                .addOption(CommandOptions.optionWithValue("timeout", "DURATION", "how long to wait at most (5m)"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        AdministrationClient client = AddressOption.createClient(arguments);
        String host = OptionReader.requireSingleArgument(arguments, "host");
        if (arguments.hasOption("cancel")) {
            JsonNode response = post(client, "/moves/cancel", Map.of("host", host));
            console.printResult(response, "The host stays in '" + fieldText(response, "to") + "'");
            return ExitCode.DONE;
        }
        if (!arguments.hasOption("to")) {
            throw OptionReader.badUsage("Name the pool with --to, or give the move up with --cancel");
        }
        String pool = arguments.getOptionValue("to");
        JsonNode response = post(client, "/moves", Map.of("host", host, "destination", pool));
        if (!arguments.hasOption("wait")) {
            console.printResult(
                    response,
                    host + " is withdrawn from '" + fieldText(response, "from") + "' at offset "
                            + fieldText(response, "offset") + "; 'cicadalead status' shows whom the move waits for");
            return ExitCode.DONE;
        }
        Duration timeout = OptionReader.readDuration(arguments, "timeout").orElse(DEFAULT_TIMEOUT);
        awaitAssignment(client, host, pool, timeout, console);
        console.printResult(response, host + " belongs to '" + pool + "'");
        return ExitCode.DONE;
    }

    private static JsonNode post(AdministrationClient client, String path, Object body) {
        return client.parse(client.post(path, body), JsonNode.class);
    }

    private static void awaitAssignment(
            AdministrationClient client, String host, String pool, Duration timeout, Console console) {
        long deadline = System.nanoTime() + timeout.toNanos();
        String printedReason = "";
        while (System.nanoTime() - deadline < 0) {
            JsonNode hostState = findRow(client.parse(client.get("/hosts"), JsonNode.class), "name", host);
            if (hostState.path("move").isNull() || hostState.path("move").isMissingNode()) {
                requireAssignedTo(hostState, host, pool);
                return;
            }
            JsonNode blockedMoves =
                    client.parse(client.get("/members"), JsonNode.class).path("blocked");
            String reason = findRow(blockedMoves, "host", host).path("reason").asText("");
            if (!reason.equals(printedReason)) {
                console.printProgress("waiting: " + reason);
                printedReason = reason;
            }
            pause();
        }
        throw new CicadaleadException(
                ErrorKind.OUTCOME_UNKNOWN, "The move goes on; it was not over after " + timeout + ": " + printedReason);
    }

    private static void requireAssignedTo(JsonNode hostState, String host, String pool) {
        if (!fieldText(hostState, "pool").equals(pool)) {
            throw new CicadaleadException(
                    ErrorKind.CONFLICT,
                    "The move was given up; " + host + " is in '" + fieldText(hostState, "pool") + "'");
        }
    }

    private static JsonNode findRow(JsonNode rows, String field, String value) {
        for (JsonNode row : rows) {
            if (fieldText(row, field).equals(value)) {
                return row;
            }
        }
        return rows.path(-1);
    }

    private static String fieldText(JsonNode node, String field) {
        return node.path(field).asText("");
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_PERIOD_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "Interrupted", interrupted);
        }
    }
}
