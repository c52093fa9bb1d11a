package org.cicadalead.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.platform.WarmUp;

/** Runs entry processes on the loopback interface for a few seconds, as the build does. Stateless. */
final class WarmUpCommand implements Subcommand {
    private static final Duration JOB_TIMEOUT = Duration.ofSeconds(20);

    @Override
    public String commandName() {
        return "warm-up";
    }

    @Override
    public String argumentsUsage() {
        return "";
    }

    @Override
    public String summary() {
        return "runs two platform entries on the loopback interface, to archive the classes that they load";
    }

    @Override
    public List<String> examples() {
        return List.of("java -XX:ArchiveClassesAtExit=target/cicadalead.jsa -jar target/cicadalead-all.jar warm-up");
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        try {
            Path folder = Files.createTempDirectory("cicadalead-warm-up");
            try {
                return WarmUp.run(folder, JOB_TIMEOUT) ? ExitCode.DONE : ExitCode.FAILED;
            } finally {
                deleteFolder(folder);
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
