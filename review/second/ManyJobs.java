package review.second;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Small jobs that run for long are accepted, for four seconds 2.6 times as many as usual, and the workers have room for
 * all of them. Every job has to run.
 */
final class ManyJobs implements Scenario.Body {
    private static final double JOBS_PER_SECOND = 800;
    private static final double TRAFFIC_SECONDS = 14;
    private static final double BURST = 2.6;
    private static final double BURST_BEGINS_SECONDS = 8;
    private static final double BURST_SECONDS = 4;
    /** As {@code finish_s}: jobs are judged from so long after the end of the traffic. */
    private static final long FINISH_MILLISECONDS = 14_000;
    private static final int CLIENTS = 24;
    private static final int TASK_MILLICORES = 25;
    private static final int WORKERS = 8;
    private static final int WORKER_MILLICORES = 64_000;
    private static final long SEND_LIMIT_MILLISECONDS = 60_000;
    private static final long END_LIMIT_MILLISECONDS = 112_000;
    /** The rule's 3 s and the 4 s before them. */
    private static final long IDLE_MILLISECONDS = 7_000;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        int jobs = countDue(TRAFFIC_SECONDS, trouble);
        world.putConfiguration(1, List.of("dispatch"), List.of("r-rounds /rounds/ dispatch 3"));
        for (int number = 0; number < WORKERS; number++) {
            world.addWorker(
                    "dispatch",
                    Scenario.zoneOf(number),
                    WORKER_MILLICORES,
                    262_144,
                    List.of("a", "r1-" + (1 + number / 4)));
        }
        if (!Scenario.startEntries(world)) {
            return Scenario.NOT_RUN;
        }
        AtomicInteger next = new AtomicInteger();
        AtomicInteger accepted = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long trafficBegins = world.now();
        for (int client = 0; client < CLIENTS; client++) {
            World.Entry entry = world.entries.get(client % world.entries.size());
            Thread thread = World.daemon(() -> sendJobs(world, entry, trouble, trafficBegins, jobs, next, accepted));
            thread.start();
            clients.add(thread);
        }
        for (Thread client : clients) {
            client.join();
        }
        world.record(accepted + " of " + jobs + " jobs are accepted");
        if (accepted.get() < jobs * 9 / 10) {
            return Scenario.NOT_RUN;
        }
        long judgedFrom = world.now() + FINISH_MILLISECONDS;
        long calmSince = judgedFrom;
        long idleSince = judgedFrom;
        int lastRunning = -1;
        while (world.now() < END_LIMIT_MILLISECONDS) {
            Thread.sleep(500);
            int running = world.workers.values().stream()
                    .mapToInt(StandInWorker::countRuns)
                    .sum();
            int idle = accepted.get() - running;
            if (running != lastRunning) {
                world.record(running + " jobs have a task at work, " + idle + " have none");
                lastRunning = running;
            }
            boolean hasRoom = 2L * running * TASK_MILLICORES < (long) WORKERS * WORKER_MILLICORES;
            calmSince = idle > 0 ? Math.max(judgedFrom, world.now()) : calmSince;
            idleSince = idle > 0 && hasRoom ? idleSince : Math.max(judgedFrom, world.now());
            if (world.now() - idleSince >= IDLE_MILLISECONDS) {
                world.record("LOST: " + idle + " accepted jobs have nothing running for " + IDLE_MILLISECONDS
                        + " ms, with over half of the workers' room free");
                return Scenario.BROKEN;
            }
            if (world.now() - calmSince >= IDLE_MILLISECONDS) {
                return Scenario.HELD;
            }
        }
        return Scenario.HELD;
    }

    /** Returns how many jobs are due after a time. */
    private static int countDue(double seconds, boolean trouble) {
        double inBurst = Math.max(0, Math.min(BURST_SECONDS, seconds - BURST_BEGINS_SECONDS));
        return (int) (JOBS_PER_SECOND * (seconds + (trouble ? (BURST - 1) * inBurst : 0)));
    }

    private static void sendJobs(
            World world,
            World.Entry entry,
            boolean trouble,
            long trafficBegins,
            int jobs,
            AtomicInteger next,
            AtomicInteger accepted) {
        String body = "{\"spec\":\"cpu=" + TASK_MILLICORES + " ms=110000\",\"jobSteps\":[{\"count\":1,\"cpu\":"
                + TASK_MILLICORES + ",\"memMb\":10,\"estimatedMs\":110000}]}";
        try {
            for (int number = next.getAndIncrement();
                    number < jobs && world.now() < SEND_LIMIT_MILLISECONDS;
                    number = next.getAndIncrement()) {
                while (number >= countDue((world.now() - trafficBegins) / 1_000.0, trouble)) {
                    Thread.sleep(5);
                }
                String job = String.format("/rounds/5c0e7a21d94b%04x", number);
                for (int attempt = 0; attempt < 5; attempt++) {
                    if (world.call(entry, "POST", job, body).status() == 200) {
                        accepted.incrementAndGet();
                        break;
                    }
                    Thread.sleep(100);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
