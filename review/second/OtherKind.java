package review.second;

import java.util.List;

/**
 * Workers crash, one at a time, and start again a second later under the identifier that they had, as another kind:
 * without a label that all tasks require. No task may begin on a worker without the label.
 */
final class OtherKind implements Scenario.Body {
    private static final int WORKERS = 8;
    private static final int CRASHES = 12;
    private static final long AWAY_MILLISECONDS = 1_000;
    private static final long BETWEEN_MILLISECONDS = 3_000;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.putConfiguration(1, List.of("dispatch"), List.of("r-rounds /rounds/ dispatch 3"));
        for (int number = 0; number < WORKERS; number++) {
            world.addWorker(
                    "dispatch", Scenario.zoneOf(number), 8_000, 64_000, List.of("a", "r1-" + (1 + number / 4)));
        }
        if (!Scenario.startEntries(world)) {
            return Scenario.NOT_RUN;
        }
        // Enough tasks of half a second that some wait at any time.
        for (int job = 0; job < 6; job++) {
            boolean accepted = world.submit(
                    String.format("/rounds/5c0e7a21d94b%04x", job),
                    "{\"spec\":\"cpu=1000 ms=500\",\"jobSteps\":[{\"count\":1000,\"cpu\":1000,\"memMb\":1000,"
                            + "\"estimatedMs\":500,\"requiredLabel\":\"a\"}]}");
            if (!accepted) {
                return Scenario.NOT_RUN;
            }
        }
        Thread.sleep(3_000);
        for (int crash = 0; trouble && crash < CRASHES; crash++) {
            StandInWorker worker = world.workers.get("m-" + crash % WORKERS);
            boolean hadLabel = worker.labels().contains("a");
            String identifier = worker.identifier();
            worker.crash();
            Thread.sleep(AWAY_MILLISECONDS);
            worker.start(identifier, "dispatch", worker.zone(), 8_000, 64_000, List.of(hadLabel ? "b" : "a", worker.labels().get(1)));
            Thread.sleep(BETWEEN_MILLISECONDS);
        }
        Thread.sleep(3_000);
        int broken = 0;
        for (World.RunOnWorker run : world.runsOf("5c0e7a21d94b")) {
            if (!run.labels.contains("a")) {
                broken++;
            }
        }
        world.record("ROUTE: " + broken + " of " + world.runsOf("5c0e7a21d94b").size()
                + " runs have begun on a worker without the label");
        return broken > 0 ? Scenario.BROKEN : Scenario.HELD;
    }
}
