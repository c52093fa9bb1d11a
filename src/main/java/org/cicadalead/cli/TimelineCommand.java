package org.cicadalead.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.logic.timeline.LogExplainer;
import org.cicadalead.logic.timeline.TimelineExplainer;
import org.cicadalead.logic.timeline.TimelineFilter;
import org.cicadalead.logic.timeline.TimelineMerger;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.TimelineStream;

/** Merges, filters, explains, follows and draws the event timelines of entry processes. Stateless. */
final class TimelineCommand implements Subcommand {
    private static final long FOLLOW_PERIOD_MILLISECONDS = 500;

    /** Options that only apply to the events of processes that are asked. */
    private static final Set<String> LIVE_OPTIONS =
            Set.of("address", "subject", "kind", "from-offset", "to-offset", "from", "to", "html", "follow");

    @Override
    public String commandName() {
        return "timeline";
    }

    @Override
    public String argumentsUsage() {
        return "[--address ADDRESS:PORT]... [--subject NAME] [--explain NAME] [--follow] [--html FILE] | "
                + "--log FILE... --explain TASK";
    }

    @Override
    public String summary() {
        return "shows the time line of events over all processes, in causal order";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "cicadalead timeline --address 127.0.0.1:20100 --address 127.0.0.1:20101",
                "cicadalead timeline --explain kingston-03",
                "cicadalead timeline --log frontend-1.log --log frontend-2.log --explain 587f12876c9e5118.0.0.0",
                "cicadalead timeline --kind configuration-accepted --html timeline.html");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "address", "ADDRESS:PORT", "administration port; may be repeated"))
                .addOption(CommandOptions.optionWithValue(
                        "subject", "NAME", "only events of a request, job, host, pool, wave or file"))
                .addOption(CommandOptions.optionWithValue("kind", "KIND", "only events of a kind, by name or number"))
                .addOption(CommandOptions.optionWithValue("from-offset", "OFFSET", "only events from this offset on"))
                .addOption(CommandOptions.optionWithValue("to-offset", "OFFSET", "only events up to this offset"))
                .addOption(CommandOptions.optionWithValue(
                        "from", "MILLISECONDS", "only events from this time on, since 1970"))
                .addOption(
                        CommandOptions.optionWithValue("to", "MILLISECONDS", "only events up to this time, since 1970"))
                .addOption(CommandOptions.optionWithValue("explain", "NAME", "what happened to a subject, and why"))
                .addOption(CommandOptions.optionWithValue("html", "FILE", "write a page with a picture"))
                .addOption(CommandOptions.optionWithValue(
                        "log", "FILE", "log of a process, read instead of asking processes; may be repeated"))
                .addOption(Option.builder()
                        .longOpt("follow")
                        .desc("go on showing new events")
                        .build());
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        if (arguments.hasOption("log")) {
            explainFromLogs(arguments, console);
            return ExitCode.DONE;
        }
        List<AdministrationClient> clients = createClients(arguments);
        List<TimelineStream> streams =
                clients.stream().map(client -> fetchStream(client, 1)).toList();
        for (TimelineStream stream : streams) {
            if (stream.dropped() > 0) {
                console.printProgress(stream.process() + " no longer keeps its first " + stream.dropped() + " events");
            }
        }
        List<Event> selectedEvents = select(arguments, TimelineMerger.merge(streams));
        if (arguments.hasOption("html")) {
            writePage(Path.of(arguments.getOptionValue("html")), TimelinePage.render(selectedEvents));
            return ExitCode.DONE;
        }
        selectedEvents.forEach(event -> printEvent(event, console));
        if (arguments.hasOption("follow")) {
            follow(arguments, clients, streams, console);
        }
        return ExitCode.DONE;
    }

    private static void explainFromLogs(CommandLine arguments, Console console) {
        for (Option option : arguments.getOptions()) {
            if (LIVE_OPTIONS.contains(option.getLongOpt())) {
                throw OptionReader.badUsage("--" + option.getLongOpt() + " cannot be used with --log");
            }
        }
        String subject = Optional.ofNullable(arguments.getOptionValue("explain"))
                .orElseThrow(() -> OptionReader.badUsage("--log needs --explain with the identifier of a task or job"));
        LogExplainer explainer = new LogExplainer(subject);
        for (String file : arguments.getOptionValues("log")) {
            LogFileReader reader = new LogFileReader(Path.of(file));
            reader.read(explainer::add);
            reader.describeMalformedLines().ifPresent(console::printProgress);
        }
        explainer.explain().forEach(line -> console.printResult(line, LogExplainer.describe(line)));
    }

    private static List<AdministrationClient> createClients(CommandLine arguments) {
        String[] addresses = Optional.ofNullable(arguments.getOptionValues("address"))
                .orElse(new String[] {AdministrationClient.DEFAULT_ADDRESS});
        List<AdministrationClient> clients = new ArrayList<>();
        for (String address : addresses) {
            try {
                clients.add(new AdministrationClient(NetworkAddress.parse(address)));
            } catch (IllegalArgumentException invalid) {
                throw OptionReader.badUsage("--address: " + invalid.getMessage());
            }
        }
        return clients;
    }

    private static TimelineStream fetchStream(AdministrationClient client, long fromSequence) {
        return client.parse(client.get("/timeline?from=" + fromSequence), TimelineStream.class);
    }

    private static List<Event> select(CommandLine arguments, List<Event> mergedEvents) {
        List<Event> explainedEvents = Optional.ofNullable(arguments.getOptionValue("explain"))
                .map(subject -> TimelineExplainer.explain(mergedEvents, subject))
                .orElse(mergedEvents);
        TimelineFilter filter = new TimelineFilter(
                Optional.ofNullable(arguments.getOptionValue("subject")),
                Optional.ofNullable(arguments.getOptionValue("kind")),
                parseNumber(arguments, "from-offset"),
                parseNumber(arguments, "to-offset"),
                parseNumber(arguments, "from"),
                parseNumber(arguments, "to"));
        return explainedEvents.stream().filter(filter::selects).toList();
    }

    private static Optional<Long> parseNumber(CommandLine arguments, String option) {
        try {
            return Optional.ofNullable(arguments.getOptionValue(option)).map(Long::parseLong);
        } catch (NumberFormatException malformed) {
            throw OptionReader.badUsage("--" + option + " must be a whole number");
        }
    }

    private static void printEvent(Event event, Console console) {
        console.printResult(event, TimelineExplainer.describe(event));
    }

    private static void follow(
            CommandLine arguments,
            List<AdministrationClient> clients,
            List<TimelineStream> printedStreams,
            Console console) {
        Map<AdministrationClient, Long> nextSequences = new HashMap<>();
        for (int index = 0; index < clients.size(); index++) {
            nextSequences.put(clients.get(index), nextSequence(printedStreams.get(index), 1));
        }
        while (pause()) {
            List<TimelineStream> streams = new ArrayList<>();
            for (AdministrationClient client : clients) {
                TimelineStream stream = fetchStream(client, nextSequences.get(client));
                nextSequences.put(client, nextSequence(stream, nextSequences.get(client)));
                streams.add(stream);
            }
            select(arguments, TimelineMerger.merge(streams)).forEach(event -> printEvent(event, console));
        }
    }

    private static long nextSequence(TimelineStream stream, long fromSequence) {
        List<Event> events = stream.events();
        return events.isEmpty() ? fromSequence : events.get(events.size() - 1).sequence() + 1;
    }

    private static boolean pause() {
        try {
            Thread.sleep(FOLLOW_PERIOD_MILLISECONDS);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void writePage(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException failure) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "'" + file + "' cannot be written", failure);
        }
    }
}
