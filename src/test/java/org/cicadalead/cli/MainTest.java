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

    @Test
    void explainsTaskFromLogsAndCountsMalformedLines(@TempDir Path folder) throws IOException {
        Path first = folder.resolve("first.log");
        Path second = folder.resolve("second.log");
        Files.writeString(
                first,
                """
                {"time":"2026-01-01T00:00:02Z","number":8028,"kind":"TASK_WAITS","process":"p1",\
                "task":"job.0.0.0","reason":"NO_ROOM"}
                not JSON
                {"time":"2026-01-01T00:00:04Z","number":8029,"kind":"TASK_RUNS_AGAIN","process":"p1","task":"job.0.0.0"}
                {"time":"2026-01-01T00:00:0""");
        Files.writeString(
                second,
                """
                {"time":"2026-01-01T00:00:01Z","number":8002,"kind":"TERM_ENDED","process":"p2","epoch":"4"}
                {"time":"2026-01-01T00:00:03Z","number":8020,"kind":"RUN_ORDERED","process":"p2","task":"other.0.0.0"}
                """);
        ExitCode code =
                run("timeline", "--log", first.toString(), "--log", second.toString(), "--explain", "job.0.0.0");
        assertEquals(ExitCode.DONE, code, errors.toString(UTF_8));
        List<String> lines = output.toString(UTF_8).lines().toList();
        assertEquals(3, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("2026-01-01T00:00:01Z TERM_ENDED"), lines.get(0));
        assertTrue(lines.get(1).contains("task=job.0.0.0 reason=NO_ROOM (process p1)"), lines.get(1));
        assertTrue(lines.get(2).startsWith("2026-01-01T00:00:04Z TASK_RUNS_AGAIN"), lines.get(2));
        assertTrue(errors.toString(UTF_8).contains("skipped 2 malformed of 4 lines"), errors.toString(UTF_8));
    }

    @Test
    void rejectsLogsWithoutSubjectWithOtherFiltersOrUnreadable(@TempDir Path folder) throws IOException {
        String log = Files.writeString(folder.resolve("log"), "").toString();
        assertEquals(ExitCode.BAD_USAGE, run("timeline", "--log", log));
        assertEquals(ExitCode.BAD_USAGE, run("timeline", "--log", log, "--explain", "job", "--follow"));
        assertEquals(
                ExitCode.BAD_USAGE,
                run("timeline", "--log", folder.resolve("absent").toString(), "--explain", "job"));
    }

    private ExitCode run(String... arguments) {
        return Main.run(List.of(arguments), new PrintStream(output, true, UTF_8), new PrintStream(errors, true, UTF_8));
    }
}
