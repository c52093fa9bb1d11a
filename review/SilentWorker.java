import java.util.ArrayList;
import java.util.List;

/**
 * One worker of eight crashes and is silent; clients hand jobs in that are sent to it and so do not begin. The count of
 * the waiting jobs of their queue must hold half of them or more.
 */
public final class SilentWorker {
    private static final int WORKERS = 8;
    private static final int JOBS = 8;
    private static final int SILENT_MS = 7_400;
    private static final int VISIBLE_MS = 3_000;
    private static final int COUNT_AGE_MS = VISIBLE_MS + 2_000;

    private SilentWorker() {}

    private record Accepted(String job, long at) {}

    public static void main(String[] arguments) {
        World.play(arguments[0], SilentWorker::run);
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
        Daemons.Daemon entry = world.daemons.daemons.get(0);
        String lasting = World.newId(100);
        if (world.submit(entry, "/lasting/", lasting, 1, 5_400, 22_000, "serve", true, 900).status() != 200) {
            return 2;
        }
        Thread.sleep(2_000);
        List<Worker.Event> events = world.eventsOf(lasting);
        if (events.isEmpty()) {
            return 2;
        }
        Worker worker = world.worker(events.get(0).worker());
        if (trouble) {
            worker.crash();
        }
        long upAgainAt = world.recorder.now() + SILENT_MS;
        List<Accepted> accepted = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            String job = World.newId(number);
            if (world.submit(entry, "/short/", job, 1, 3_500, 14_000, "run 1000", false, 1_000).status() == 200) {
                accepted.add(new Accepted(job, world.recorder.now()));
            }
        }
        int broken = 0;
        int asked = 0;
        boolean isUp = !trouble;
        while (world.recorder.now() < upAgainAt + 3_000) {
            if (!isUp && world.recorder.now() >= upAgainAt) {
                worker.beginLife();
                isUp = true;
            }
            long askedAt = world.recorder.now();
            World.Answer answer = world.call("GET", entry, "/short/", "", false);
            long answeredAt = world.recorder.now();
            // Jobs that were accepted long enough before the request and have not begun when it is answered.
            long waiting = accepted.stream()
                    .filter(job -> askedAt - job.at > COUNT_AGE_MS)
                    .filter(job -> world.eventsOf(job.job).isEmpty())
                    .count();
            if (answer.status() == 200) {
                asked++;
                int count = Http.read(answer.body().getBytes()).path("waitingCount").asInt(-1);
                if (waiting > 0) {
                    world.recorder.line("client: GET /short/ at " + askedAt + " ms -> " + answer.body() + " at "
                            + answeredAt + " ms; accepted over " + COUNT_AGE_MS + " ms before and not begun: " + waiting);
                }
                broken += count * 2 < waiting ? 1 : 0;
            }
            Thread.sleep(100);
        }
        world.recordEvents();
        world.recorder.line("counts asked for " + asked + ", of these under half of the jobs that wait: " + broken);
        if (asked == 0 || accepted.size() < JOBS) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
