package org.cicadalead.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.platform.PlatformEntry;
import org.cicadalead.platform.PlatformSettings;

/** Runs one process on the users' platform until the program is terminated. Stateless. */
final class PlatformEntryCommand implements Subcommand {
    private static final String METRICS_PORT_OPTION = "metrics-port";

    @Override
    public String commandName() {
        return "platform-entry";
    }

    @Override
    public String argumentsUsage() {
        return "[--settings FILE] [--metrics-port PORT]";
    }

    @Override
    public String summary() {
        return "runs one process on the users' platform";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead platform-entry --settings /etc/cicadalead/local.conf");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "settings",
                        "FILE",
                        "settings that the platform wrote (by default the file that " + PlatformSettings.PATH_VARIABLE
                                + " names)"))
                .addOption(CommandOptions.optionWithValue(
                        METRICS_PORT_OPTION, "PORT", "port on which /metrics is served (by default nowhere)"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String settingsFile = Optional.ofNullable(arguments.getOptionValue("settings"))
                .or(() -> Optional.ofNullable(System.getenv(PlatformSettings.PATH_VARIABLE)))
                .orElseThrow(() -> new CicadaleadException(
                        ErrorKind.INVALID_SETTINGS,
                        "Neither --settings nor " + PlatformSettings.PATH_VARIABLE + " names a settings file"));
        OptionalInt metricsPort = parseMetricsPort(arguments);
        CompletableFuture<PlatformEntry> entry = new CompletableFuture<>();
        // Before the process listens: without a handler each of these signals ends it at once.
        ProcessSignals.handle(
                "HUP", () -> entry.thenAccept(started -> started.onSettingsChanged(Path.of(settingsFile))));
        AtomicBoolean stopping = new AtomicBoolean();
        ProcessSignals.handle("TERM", () -> stop(stopping));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            entry.join().stopGracefully();
            Runtime.getRuntime().halt(ExitCode.DONE.code());
        }));
        try {
            entry.complete(new PlatformEntry(PlatformSettings.read(Path.of(settingsFile)), metricsPort));
        } finally {
            // Has no effect on a process that was created; otherwise a stop would wait for it.
            entry.cancel(false);
        }
        EntryCommand.awaitForever(new CountDownLatch(1));
        return ExitCode.DONE;
    }

    private static OptionalInt parseMetricsPort(CommandLine arguments) {
        String port = arguments.getOptionValue(METRICS_PORT_OPTION);
        try {
            return port == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(port));
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS,
                    "--" + METRICS_PORT_OPTION + " is not a port: '" + port + "'",
                    malformed);
        }
    }

    /**
     * Stops the process gracefully at the first signal; a further one changes nothing, as requests are still served.
     */
    private static void stop(AtomicBoolean stopping) {
        if (!stopping.getAndSet(true)) {
            new Thread(() -> Runtime.getRuntime().exit(ExitCode.DONE.code()), "stop").start();
        }
    }
}
