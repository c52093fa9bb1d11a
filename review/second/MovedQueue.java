package review.second;

import java.util.List;

/**
 * A configuration gives a queue to another service, and a client sends the job once more that it handed in before. Then
 * the process that leads is killed while the worker that runs the job's task is cut off for some seconds. The task may
 * not run twice at the same time.
 */
final class MovedQueue implements Scenario.Body {
    private static final String JOB = "/rounds/5c0e7a21d94b36f8";
    private static final String TASK = "5c0e7a21d94b36f8.0.0.0";
    private static final String BODY = "{\"spec\":\"cpu=2000 ms=20000\",\"jobSteps\":[{\"count\":1,\"cpu\":2000,"
            + "\"memMb\":1000,\"estimatedMs\":20000}]}";
    private static final long CUT_MILLISECONDS = 5_500;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        List<String> services = List.of("dispatch", "kitchens");
        world.putConfiguration(1, services, List.of("r-rounds /rounds/ dispatch 3", "r-menu /menu/ kitchens 3"));
        for (int number = 0; number < 12; number++) {
            world.addWorker(
                    services.get(number / 6),
                    Scenario.zoneOf(number),
                    16_000,
                    64_000,
                    List.of("a", "r1-" + (1 + number / 4)));
        }
        if (!Scenario.startEntries(world) || !world.submit(JOB, BODY)) {
            return Scenario.NOT_RUN;
        }
        StandInWorker worker = awaitRun(world);
        if (worker == null) {
            return Scenario.NOT_RUN;
        }
        Thread.sleep(1_000);
        world.putConfiguration(2, services, List.of("r-rounds /rounds/ kitchens 3", "r-menu /menu/ kitchens 3"));
        Thread.sleep(3_000);
        if (!world.submit(JOB, BODY)) {
            return Scenario.NOT_RUN;
        }
        Thread.sleep(1_000);
        if (trouble) {
            worker.setSilent(true);
            World.Entry leader = world.findLeader();
            if (leader == null) {
                return Scenario.NOT_RUN;
            }
            world.kill(leader);
            Thread.sleep(CUT_MILLISECONDS);
            worker.setSilent(false);
        }
        Thread.sleep(25_000);
        return findOverlap(world) ? Scenario.BROKEN : Scenario.HELD;
    }

    private static StandInWorker awaitRun(World world) throws InterruptedException {
        for (int attempt = 0; attempt < 200; attempt++) {
            for (StandInWorker worker : world.workers.values()) {
                if (worker.runs(TASK)) {
                    return worker;
                }
            }
            Thread.sleep(50);
        }
        return null;
    }

    private static boolean findOverlap(World world) {
        List<World.RunOnWorker> runs = world.runsOf(TASK);
        for (World.RunOnWorker run : runs) {
            for (World.RunOnWorker other : runs) {
                if (other != run
                        && other.begunMilliseconds > run.begunMilliseconds
                        && other.begunMilliseconds < run.endedMilliseconds) {
                    world.record("TWICE: " + TASK + " attempt " + other.attempt + " begins on " + other.worker
                            + " while attempt " + run.attempt + " runs on " + run.worker + ", for "
                            + (Math.min(run.endedMilliseconds, other.endedMilliseconds) - other.begunMilliseconds)
                            + " ms");
                    return true;
                }
            }
        }
        return false;
    }
}
