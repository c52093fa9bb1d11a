package org.cicadalead.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @ParameterizedTest
    @ValueSource(strings = {"blue-mountain", "dakar-wage-survey"})
    void acceptsExampleFolders(String name) {
        assertEquals(ExitCode.DONE, run("check", "examples/" + name));
    }

    @Test
    void returnsBadUsageForInvalidFolder(@TempDir Path folder) throws IOException {
        Files.writeString(folder.resolve("unit.toml"), "[[pool]]\nnmae = 1\n");
        assertEquals(ExitCode.BAD_USAGE, run("check", folder.toString()));
        assertTrue(output.toString(UTF_8).contains("Did you mean 'name'?"));
    }

    @Test
    void returnsBadUsageForUnknownCommand() {
        assertEquals(ExitCode.BAD_USAGE, run("fly"));
    }

    @Test
    void returnsFailedWhenEntryProcessIsUnreachable() {
        assertEquals(ExitCode.FAILED, run("status", "--address", "127.0.0.1:1"));
    }

    @Test
    void printsHelpForEveryCommand() {
        for (Subcommand subcommand : Subcommands.all()) {
            output.reset();
            String[] words = (subcommand.commandName() + " --help").split(" ");
            assertEquals(ExitCode.DONE, run(words));
            assertTrue(output.toString(UTF_8).contains(subcommand.examples().get(0)), subcommand.commandName());
        }
    }

    private ExitCode run(String... arguments) {
        return Main.run(List.of(arguments), new PrintStream(output, true, UTF_8), new PrintStream(errors, true, UTF_8));
    }
}
