package review.second;

import java.util.List;

/**
 * A job of many small tasks that save their progress runs, and one worker crashes. The job's second step has to start
 * when the first is done, and another client's job has to be shown as completed.
 */
final class WideJob implements Scenario.Body {
    private static final String WIDE_JOB = "/rounds/5c0e7a21d94b36f8";
    private static final String OTHER_JOB = "/rounds/77aa7a21d94b36f8";
    private static final int TASKS = 8_000;
    private static final int WORKERS = 8;
    private static final long START_LIMIT_MILLISECONDS = 55_000;
    private static final long END_LIMIT_MILLISECONDS = 112_000;
    /** The rule's 3 s and the 4 s before them; by the record a little more. */
    private static final long IDLE_MILLISECONDS = 9_000;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.putConfiguration(1, List.of("dispatch"), List.of("r-rounds /rounds/ dispatch 3"));
        for (int number = 0; number < WORKERS; number++) {
            world.addWorker(
                    "dispatch", Scenario.zoneOf(number), 64_000, 262_144, List.of("a", "r1-" + (1 + number / 4)));
        }
        if (!Scenario.startEntries(world)) {
            return Scenario.NOT_RUN;
        }
        boolean accepted = world.submit(
                WIDE_JOB,
                "{\"spec\":\"cpu=50 ms=40000 then=1000 saves=1\",\"jobSteps\":[{\"count\":" + TASKS
                        + ",\"cpu\":50,\"memMb\":100,\"estimatedMs\":40000,\"checkpointing\":true},"
                        + "{\"count\":1,\"cpu\":50,\"memMb\":100,\"estimatedMs\":1000,\"dependsOn\":[0]}]}");
        if (!accepted) {
            return Scenario.NOT_RUN;
        }
        int running = 0;
        while (world.now() < START_LIMIT_MILLISECONDS && running < TASKS) {
            Thread.sleep(500);
            running = countRuns(world);
        }
        world.record(running + " tasks are running");
        if (running < TASKS * 9 / 10) {
            return Scenario.NOT_RUN;
        }
        Thread.sleep(2_000);
        if (trouble) {
            StandInWorker worker = world.workers.get("m-3");
            worker.crash();
            Thread.sleep(2_000);
            worker.start(world.newIdentifier(), "dispatch", worker.zone(), 64_000, 262_144, worker.labels());
        }
        Thread.sleep(2_000);
        boolean otherAccepted = world.submit(
                OTHER_JOB,
                "{\"spec\":\"cpu=50 ms=500\",\"jobSteps\":[{\"count\":1,\"cpu\":50,\"memMb\":100,"
                        + "\"estimatedMs\":500}]}");
        long idleSince = world.now();
        while (world.now() < END_LIMIT_MILLISECONDS && world.now() - idleSince < IDLE_MILLISECONDS) {
            Thread.sleep(200);
            if (countRuns(world) > 0) {
                idleSince = world.now();
            }
        }
        world.record("no task has been running for " + (world.now() - idleSince) + " ms");
        String wideState = world.findState(WIDE_JOB);
        String otherState = world.findState(OTHER_JOB);
        long done = world.runsOf("5c0e7a21d94b36f8.0.0.").stream()
                .filter(run -> run.how.equals("done"))
                .map(run -> run.task)
                .distinct()
                .count();
        long noted = world.runsOf("").stream().filter(run -> run.acknowledged).count();
        boolean secondStepBegun = !world.runsOf("5c0e7a21d94b36f8.0.1.").isEmpty();
        world.record("the first step: " + done + " of " + TASKS + " tasks have ended done, " + noted
                + " ends are taken note of; the second step " + (secondStepBegun ? "has" : "has not")
                + " begun; the job is " + wideState + ", the other client's " + otherState);
        if (done < TASKS || !otherAccepted) {
            return Scenario.NOT_RUN;
        }
        boolean isLost = !secondStepBegun && world.now() - idleSince >= IDLE_MILLISECONDS;
        if (isLost) {
            world.record("LOST: nothing of the job has been running for " + IDLE_MILLISECONDS
                    + " ms while the turn of its second step has come and all workers are free");
        }
        return isLost ? Scenario.BROKEN : Scenario.HELD;
    }

    private static int countRuns(World world) {
        return world.workers.values().stream().mapToInt(StandInWorker::countRuns).sum();
    }
}
