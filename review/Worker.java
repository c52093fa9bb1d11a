import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker as the pages describe it: fencing tokens, leases, capacity, stops, ends in pages of 500, and incarnations. A
 * task whose spec is "run N" takes N milliseconds; any other runs until it is stopped. Safe for use by several threads.
 */
final class Worker {
    private static final int ENDS_A_PAGE = 500;
    private static final long HOLD_MAX_MS = 6_000;
    private static final long BEAT_MS = 1_500;
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, runnable -> {
        Thread thread = new Thread(runnable, "worker-timer");
        thread.setDaemon(true);
        return thread;
    });

    /** A start or an end, for the checks. */
    record Event(long at, String worker, String what, String task, long attempt, String how, long number) {}

    private record Run(String task, long attempt, long cpu, long mem, long endsAtNanos) {}

    final String id;
    final String machine;
    private final String service;
    private final long cpuTotal;
    private final long memTotal;
    private final Map<String, long[]> sizeByJob;
    private final Store store;
    private final Recorder recorder;
    private final List<Event> events;
    private HttpServer server;
    String address = "";
    private final String rack;

    private long born;
    private long bornNanos;
    private boolean up;
    private volatile boolean silent;
    private volatile boolean cutOff;
    private long sequence;
    private long fence;
    private long lease;
    private long nextEnd = 1;
    private long acknowledged;
    private final Map<String, Run> active = new LinkedHashMap<>();
    private final List<Object[]> ended = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();

    /** Called under no lock after a start was carried out, before its answer is sent. */
    volatile Runnable onStarted = () -> {};

    Worker(
            String id,
            String machine,
            String service,
            String rack,
            long cpuTotal,
            long memTotal,
            Map<String, long[]> sizeByJob,
            Store store,
            Recorder recorder,
            List<Event> events) {
        this.id = id;
        this.machine = machine;
        this.service = service;
        this.rack = rack;
        this.cpuTotal = cpuTotal;
        this.memTotal = memTotal;
        this.sizeByJob = sizeByJob;
        this.store = store;
        this.recorder = recorder;
        this.events = events;
    }

    void start(String ip) throws IOException {
        server = Http.serve(ip, 0, this::handle);
        address = ip + ":" + server.getAddress().getPort();
        beginLife();
        TIMER.scheduleAtFixedRate(this::tick, 5, 5, TimeUnit.MILLISECONDS);
        TIMER.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts an incarnation that holds and knows nothing of before. */
    synchronized void beginLife() {
        born = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        up = true;
        silent = false;
        sequence = 0;
        fence = 0;
        lease = 0;
        nextEnd = 1;
        acknowledged = 0;
        active.clear();
        ended.clear();
        highestEnded.clear();
        recorder.line(id + " is up");
        beat();
    }

    /** Crashes: everything that runs there ends, and nothing is answered until the next life. */
    synchronized void crash() {
        recorder.line(id + " crashes with " + active.size() + " runs");
        for (Run run : active.values()) {
            events.add(new Event(recorder.now(), id, "end", run.task, run.attempt, "crash", -1));
        }
        active.clear();
        up = false;
        silent = true;
        notifyAll();
    }

    /** Leaves with its machine: everything that runs there ends, and its entry is removed. */
    synchronized void leave() {
        crash();
        store.put("keyed.servers", id, "");
    }

    /** Cuts the worker off from the entry processes, in both directions, or ends that; what runs there runs on. */
    void setCutOff(boolean isCutOff) {
        recorder.line(id + (isCutOff ? " is cut off" : " is reached again") + ", with " + activeCount() + " runs");
        cutOff = isCutOff;
    }

    synchronized int activeCount() {
        return active.size();
    }

    synchronized boolean isUp() {
        return up;
    }

    private synchronized void beat() {
        if (!up) {
            return;
        }
        ObjectNode entry = Http.JSON.createObjectNode();
        entry.put("service", service)
                .put("address", address)
                .put("zone", "zone-a")
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("coldRemainingMs", 0);
        entry.putObject("capacity").put("cpu", cpuTotal).put("memMb", memTotal).put("gpu", 0);
        entry.putArray("labels").add("a").add(rack);
        entry.put("clockMs", clock()).put("seqNo", ++sequence).put("born", born);
        store.put("keyed.servers", id, entry.toString());
    }

    private long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private synchronized void tick() {
        if (!up) {
            return;
        }
        long now = System.nanoTime();
        boolean lapsed = !active.isEmpty() && clock() > lease;
        List<Run> due = active.values().stream()
                .filter(run -> lapsed || now >= run.endsAtNanos)
                .toList();
        due.forEach(run -> end(run, lapsed && now < run.endsAtNanos ? "lapsed" : "done"));
    }

    private void end(Run run, String how) {
        active.remove(run.task);
        long number = nextEnd++;
        ended.add(new Object[] {number, run.task, run.attempt, how});
        highestEnded.merge(run.task, run.attempt, Math::max);
        events.add(new Event(recorder.now(), id, "end", run.task, run.attempt, how, number));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Http.read(exchange.getRequestBody().readAllBytes());
        if (silent || cutOff) {
            // Nothing is done and nothing is answered; the caller's timeout ends the call.
            return;
        }
        String path = exchange.getRequestURI().getPath();
        ObjectNode answer = Http.JSON.createObjectNode();
        int status;
        boolean started = false;
        synchronized (this) {
            long life = born;
            String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
            long token = body.path("fencingToken").asLong();
            if (expected != null && !expected.equals(id)) {
                status = 421;
            } else if (token < fence) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                if (token > fence) {
                    recorder.line(id + " sees token " + token + " for the first time, with " + active.size()
                            + " runs and " + ended.size() + " ends that no one took note of");
                }
                fence = token;
                status = switch (path) {
                    case "/v1/run-start" -> startRun(body, answer);
                    case "/v1/run-stop" -> stopRun(body);
                    case "/v1/hold" -> hold(body);
                    case "/v1/pace" -> 200;
                    default -> 404;
                };
                started = path.equals("/v1/run-start") && status == 200;
                if (path.equals("/v1/hold") && life == born && !silent) {
                    list(answer);
                }
            }
            answer.put("clockMs", clock()).put("born", born);
        }
        if (started) {
            onStarted.run();
        }
        if (silent || cutOff) {
            return;
        }
        Http.answer(exchange, status, answer);
    }

    private int startRun(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        long attempt = body.path("attempt").asLong();
        long deadline = body.path("deadlineMs").asLong();
        String spec = body.path("spec").asText();
        Run present = active.get(task);
        if (present != null && present.attempt == attempt) {
            return 200;
        }
        String reason = null;
        long[] size = sizeByJob.getOrDefault(task.substring(0, task.indexOf('.')), new long[] {0, 0});
        if (deadline <= clock()) {
            reason = "late";
        } else if (attempt <= highestEnded.getOrDefault(task, 0L)) {
            reason = "old";
        } else if (active.values().stream().mapToLong(Run::cpu).sum() + size[0] > cpuTotal
                || active.values().stream().mapToLong(Run::mem).sum() + size[1] > memTotal) {
            reason = "room";
        }
        if (reason == null || !reason.equals("late")) {
            lease = Math.max(lease, Math.min(deadline, clock() + HOLD_MAX_MS));
        }
        if (reason != null) {
            answer.put("reason", reason);
            recorder.line(id + " rejects start of " + task + " attempt " + attempt + ": " + reason);
            return 409;
        }
        long endsAt = spec.startsWith("run ")
                ? System.nanoTime() + Long.parseLong(spec.substring(4).strip()) * 1_000_000
                : Long.MAX_VALUE;
        active.put(task, new Run(task, attempt, size[0], size[1], endsAt));
        events.add(new Event(recorder.now(), id, "start", task, attempt, "token " + body.path("fencingToken"), -1));
        return 200;
    }

    private int stopRun(JsonNode body) {
        String task = body.path("task").asText();
        long attempt = body.path("attempt").asLong();
        Run run = active.get(task);
        highestEnded.merge(task, attempt, Math::max);
        if (run != null && run.attempt <= attempt) {
            end(run, "stopped");
        }
        return 200;
    }

    private int hold(JsonNode body) {
        acknowledged = Math.max(acknowledged, body.path("ackPosition").asLong());
        ended.removeIf(end -> (long) end[0] <= acknowledged);
        if (body.has("deadlineMs")) {
            lease = Math.max(lease, Math.min(body.path("deadlineMs").asLong(), clock() + HOLD_MAX_MS));
        }
        long waitUntil = System.nanoTime() + Math.min(2_000, body.path("waitMs").asLong()) * 1_000_000;
        long life = born;
        try {
            long remaining = waitUntil - System.nanoTime();
            while (ended.isEmpty() && remaining > 1_000_000 && life == born && !silent) {
                wait(remaining / 1_000_000);
                remaining = waitUntil - System.nanoTime();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return 200;
    }

    private void list(ObjectNode answer) {
        ArrayNode running = answer.putArray("active");
        for (Run run : active.values()) {
            running.addArray().add(run.task).add(run.attempt).add("").add(100).add(run.cpu);
        }
        ArrayNode ends = answer.putArray("ended");
        for (int index = 0; index < Math.min(ENDS_A_PAGE, ended.size()); index++) {
            Object[] end = ended.get(index);
            ends.addArray()
                    .add((long) end[0])
                    .add((String) end[1])
                    .add((long) end[2])
                    .add((String) end[3])
                    .add("");
        }
    }

    /** Returns up to which number the ends of the present life were taken note of. */
    synchronized long acknowledged() {
        return acknowledged;
    }
}
