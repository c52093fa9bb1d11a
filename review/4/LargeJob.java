import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A client hands in one job that can never be done, as it has far too many tasks. The jobs of other clients, accepted
 * before, must still be done and answered for. Processes that end are started again, as the platform does.
 */
public final class LargeJob {
    private static final int WORKERS = 6;
    private static final int JOBS = 20;
    private static final int STEPS = 60;
    private static final int TASKS = 10_000;
    private static final int FINISH_MS = 14_000;
    private static final int ASK_MS = 40_000;
    private static final int RESTART_MS = 1_000;

    private LargeJob() {}

    public static void main(String[] arguments) {
        World.play(arguments[0], LargeJob::run);
    }

    private static int run(World world, boolean trouble) throws Exception {
        for (int number = 1; number <= WORKERS; number++) {
            world.addWorker(number);
        }
        for (int number = 1; number <= 3; number++) {
            world.daemons.start(number);
        }
        if (!world.awaitReady(30_000)) {
            world.recorder.line("the deployment was not ready");
            return 2;
        }
        Thread.sleep(2_000);
        List<String> jobs = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            String job = World.newId(number);
            Daemons.Daemon daemon = world.daemons.daemons.get(number % 3);
            if (world.submit(daemon, "/short/", job, 2, 3_500, 13_000, "run 3000", false, 3_000).status() == 200) {
                jobs.add(job);
            }
        }
        if (trouble) {
            ObjectNode body = Http.JSON.createObjectNode();
            body.put("spec", "run 1000");
            ArrayNode steps = body.putArray("jobSteps");
            for (int step = 0; step < STEPS; step++) {
                steps.addObject().put("count", TASKS).put("cpu", 3_500).put("memMb", 13_000).put("estimatedMs", 1_000);
            }
            world.recorder.line("a job of " + STEPS + " steps of " + TASKS + " tasks, " + body.toString().length()
                    + " bytes");
            String job = World.newId(99);
            world.sizeByJob.put(job, new long[] {3_500, 13_000});
            world.call("POST", world.daemons.daemons.get(1), "/short/" + job, body.toString());
        }
        int ends = 0;
        long askFrom = world.recorder.now() + FINISH_MS;
        while (world.recorder.now() < askFrom) {
            Thread.sleep(RESTART_MS);
            ends += restartEnded(world);
        }
        List<String> unanswered = new ArrayList<>(jobs);
        long askUntil = world.recorder.now() + ASK_MS;
        for (int number = 0; !unanswered.isEmpty() && world.recorder.now() < askUntil; number++) {
            String job = unanswered.remove(0);
            Daemons.Daemon daemon = world.daemons.daemons.get(number % 3);
            World.Answer answer = world.call("GET", daemon, "/short/" + job, "");
            if (answer.status() != 200) {
                unanswered.add(job);
                Thread.sleep(RESTART_MS / 4);
            }
            ends += restartEnded(world);
        }
        int broken = unanswered.size();
        world.recordEvents();
        world.recorder.line("processes that ended by themselves: " + ends + "; jobs accepted before " + jobs.size()
                + ", of these without an answer: " + broken);
        if (jobs.size() < JOBS) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }

    private static int restartEnded(World world) throws Exception {
        int ends = 0;
        for (Daemons.Daemon daemon : world.daemons.daemons) {
            ends += world.daemons.restartIfEnded(daemon) ? 1 : 0;
        }
        return ends;
    }
}
