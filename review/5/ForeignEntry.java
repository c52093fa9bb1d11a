import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Another writer puts an entry among those of the workers, of a service that no configuration names. It names no worker
 * to use; the work on the workers must stay as it is.
 */
public final class ForeignEntry {
    private static final int WORKERS = 6;

    private ForeignEntry() {}

    public static void main(String[] arguments) {
        World.play(arguments[0], ForeignEntry::run);
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
        String job = World.newId(1);
        if (world.submit(entry, "/lasting/", job, 5, 5_400, 19_000, "serve", true, 900).status() != 200) {
            return 2;
        }
        Thread.sleep(3_000);
        List<Worker.Event> events = world.eventsOf(job);
        if (events.size() < 5) {
            return 2;
        }
        Worker worker = world.worker(events.get(0).worker());
        if (trouble) {
            ObjectNode foreign = Http.JSON.createObjectNode();
            foreign.put("service", "backup-agents")
                    .put("address", worker.address)
                    .put("zone", "zone-a")
                    .put("version", "v1")
                    .put("slots", 8)
                    .put("state", "ready")
                    .put("coldRemainingMs", 0);
            foreign.putObject("capacity").put("cpu", 64_000).put("memMb", 262_144).put("gpu", 0);
            foreign.putArray("labels").add("agent");
            foreign.put("clockMs", 1).put("seqNo", 1).put("born", System.currentTimeMillis());
            world.store.put("keyed.servers", "agent-1", foreign.toString());
            world.recorder.line("another writer puts servers/agent-1: " + foreign);
        }
        Thread.sleep(10_000);
        world.recordEvents();
        int broken = check(world);
        return broken > 0 ? 1 : 0;
    }

    /** Checks the rule TWICE: no start while another run of the task goes on. */
    private static int check(World world) {
        Map<String, Worker.Event> runningByTask = new HashMap<>();
        int broken = 0;
        for (Worker.Event event : world.eventsOf("")) {
            Worker.Event running = runningByTask.get(event.task());
            if (event.what().equals("start")) {
                if (running != null) {
                    broken++;
                    world.recorder.line("TWICE: " + event.task() + " attempt " + running.attempt() + " runs on "
                            + running.worker() + ", and attempt " + event.attempt() + " was started on " + event.worker()
                            + " at " + event.at() + " ms");
                }
                runningByTask.put(event.task(), event);
            } else if (running != null && running.attempt() == event.attempt()) {
                runningByTask.remove(event.task());
            }
        }
        world.recorder.line("starts beside another run of the task: " + broken);
        return broken;
    }
}
