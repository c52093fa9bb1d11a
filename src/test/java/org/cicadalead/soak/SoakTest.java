package org.cicadalead.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Plays seeded runs of real processes. By default these are the ones of the gate, with planned stops only; with
 * {@code -Dcicadalead.soak.faults=all}, processes are also suspended and killed. A process leaves out lines of its log
 * under the load of the gate; {@code -Dcicadalead.soak.pause=200}, in milliseconds between two requests of a caller,
 * keeps them all.
 */
class SoakTest {
    private static final long FIRST_SEED = Long.getLong("cicadalead.soak.seed", 1);
    private static final int RUNS = Integer.getInteger("cicadalead.soak.runs", 1);
    private static final int SECONDS = Integer.getInteger("cicadalead.soak.seconds", 40);
    private static final int PROCESSES = Integer.getInteger("cicadalead.soak.processes", 3);
    private static final boolean IS_PLANNED_ONLY =
            System.getProperty("cicadalead.soak.faults", "planned").equals("planned");
    private static final Path LOGS = Path.of("target", "soak");

    @Test
    void answersEveryRequestAndCompletesEveryAcceptedJob() throws Exception {
        List<String> problems = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            Files.createDirectories(LOGS);
            Path folder = Files.createTempDirectory(LOGS, "seed-" + seed + "-").toAbsolutePath();
            try (SoakRun run = new SoakRun(seed, PROCESSES, folder)) {
                SoakRun.Report report = run.play(Duration.ofSeconds(SECONDS), IS_PLANNED_ONLY);
                System.out.println(report.summary() + ", violations "
                        + report.violations().size() + ", cut early "
                        + report.cutEarly().size() + ", logs in " + folder);
                if (!report.violations().isEmpty()) {
                    problems.add(report.summary() + ", logs in " + folder);
                    problems.addAll(report.violations());
                    problems.add(report.cutEarly().size() + " requests were cut soon after they were sent");
                }
            }
        }
        assertTrue(problems.isEmpty(), () -> String.join("\n", problems));
    }
}
