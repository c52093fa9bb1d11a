package org.cicadalead.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.entry.EntryProcess;
import org.cicadalead.adapters.event.LogFormat;
import org.cicadalead.adapters.event.LogSetup;
import org.cicadalead.adapters.toml.EntrySettingsReader;

/** Runs one entry process until the program is terminated. Stateless. */
final class EntryCommand implements Subcommand {
    @Override
    public String commandName() {
        return "entry";
    }

    @Override
    public String argumentsUsage() {
        return "--settings FILE [--log-format plain|json]";
    }

    @Override
    public String summary() {
        return "runs one entry process";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead entry --settings examples/blue-mountain/settings/entry-kingston-1.toml");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .required()
                        .desc("settings of the process, in TOML")
                        .build())
                .addOption(CommandOptions.optionWithValue(
                        "log-format", "FORM", "form of the log on standard error: plain (the default) or json"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        LogSetup.install(parseLogFormat(arguments), Level.INFO);
        EntryProcess process =
                new EntryProcess(EntrySettingsReader.read(Path.of(arguments.getOptionValue("settings"))));
        console.printProgress("callers: http://" + process.callerAddress() + "  administration: http://"
                + process.administrationAddress());
        CountDownLatch stopped = new CountDownLatch(1);
        AtomicInteger unfinishedRequests = new AtomicInteger();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            unfinishedRequests.set(process.stopGracefully());
            if (unfinishedRequests.get() > 0) {
                console.printProgress(
                        unfinishedRequests.get() + " requests were still in flight at the shutdown limit");
                Runtime.getRuntime().halt(ExitCode.FAILED.code());
            }
            Runtime.getRuntime().halt(ExitCode.DONE.code());
        }));
        awaitForever(stopped);
        return ExitCode.DONE;
    }

    private static LogFormat parseLogFormat(CommandLine arguments) {
        try {
            return LogFormat.fromLabel(arguments.getOptionValue("log-format", "plain"));
        } catch (IllegalArgumentException unknown) {
            throw OptionReader.badUsage("--log-format: " + unknown.getMessage());
        }
    }

    static void awaitForever(CountDownLatch never) {
        try {
            never.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
