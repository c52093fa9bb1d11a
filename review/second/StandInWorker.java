package review.second;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A worker as the users' pages describe it: it carries out the orders of the highest fencing token, holds its runs by a
 * lease on its own clock, guards its capacity, and keeps its ended runs until they are acknowledged. One object stands
 * for one machine, of which {@link #crash} ends the present worker and {@link #start} begins the next one. The text of
 * a job says what its tasks do: {@code cpu=N ms=N then=N lasts=0|1 saves=0|1}.
 *
 * <p>Safe for use by several threads.
 */
final class StandInWorker {
    static final long MAX_LEASE_MILLISECONDS = 6_000;
    private static final long STOP_MILLISECONDS = 50;
    private static final long START_UP_MILLISECONDS = 500;
    private static final long MAX_WAIT_MILLISECONDS = 2_000;
    private static final int ENDS_PER_PAGE = 500;

    final String machine;
    private final String ip;
    private final int port;
    private final World world;

    private String identifier;
    private String service;
    private String zone;
    private List<String> labels;
    private int millicores;
    private int megabytes;

    private HttpServer server;
    private ExecutorService threads;
    private boolean up;
    private boolean silent;
    private long born;
    private long startedNanoseconds;
    private long fence;
    private long leaseEnd;
    private long nextEnd;
    /** How many times the lease was given anew after it had lapsed. */
    private int lapses;
    /** The number of lapses before each run's end, by the number of the end. */
    private final Map<Long, Integer> lapsesBefore = new HashMap<>();

    private long sequence;
    private int takenMillicores;
    private long lastChecked;
    private final Map<String, Run> active = new LinkedHashMap<>();
    private final Map<String, Long> refusedUpTo = new HashMap<>();
    private final List<ArrayNode> ended = new ArrayList<>();

    private static final class Run {
        String task;
        long attempt;
        int millicores;
        boolean lasts;
        boolean saves;
        long begun;
        long due;
        long stopsAt = Long.MAX_VALUE;
    }

    StandInWorker(World world, String machine, String ip, int port) {
        this.world = world;
        this.machine = machine;
        this.ip = ip;
        this.port = port;
    }

    String address() {
        return ip + ":" + port;
    }

    synchronized String identifier() {
        return identifier;
    }

    synchronized String service() {
        return service;
    }

    synchronized String zone() {
        return zone;
    }

    synchronized boolean isUp() {
        return up;
    }

    synchronized List<String> labels() {
        return labels;
    }

    synchronized int millicores() {
        return millicores;
    }

    synchronized int megabytes() {
        return megabytes;
    }

    synchronized boolean runs(String task) {
        endDueRuns();
        return active.containsKey(task);
    }

    synchronized int countRuns() {
        endDueRuns();
        return active.size();
    }

    /** Begins the life of a worker: opens its port, and then writes its entry. */
    void start(String newIdentifier, String newService, String newZone, int cpu, int memory, List<String> newLabels)
            throws IOException {
        synchronized (this) {
            identifier = newIdentifier;
            service = newService;
            zone = newZone;
            millicores = cpu;
            megabytes = memory;
            labels = List.copyOf(newLabels);
            born = System.currentTimeMillis();
            startedNanoseconds = System.nanoTime();
            fence = 0;
            leaseEnd = 0;
            nextEnd = 1;
            sequence = 0;
            active.clear();
            takenMillicores = 0;
            lastChecked = -1;
            refusedUpTo.clear();
            ended.clear();
            silent = false;
            threads = Executors.newCachedThreadPool(World::daemon);
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
            server.setExecutor(threads);
            server.createContext("/", this::handle);
            server.start();
            up = true;
        }
        world.record("worker " + newIdentifier + " on " + machine + " starts, labels " + newLabels);
        beat();
    }

    /** Ends the worker without a word: its connections are reset and its port is closed. */
    void crash() {
        HttpServer ending;
        synchronized (this) {
            if (!up) {
                return;
            }
            endDueRuns();
            up = false;
            ending = server;
            for (Run run : active.values()) {
                world.onRunEnded(run.task, run.attempt, identifier, "gone");
            }
            active.clear();
            notifyAll();
        }
        world.record("worker " + identifier + " on " + machine + " crashes");
        ending.stop(0);
        threads.shutdownNow();
    }

    /** Cuts the worker off, or connects it again; it runs on, and what it is sent meanwhile is lost. */
    synchronized void setSilent(boolean isSilent) {
        silent = isSilent;
        world.record("worker " + identifier + (isSilent ? " is cut off" : " is reachable again"));
        notifyAll();
    }

    /** Writes its entry, as it does with each heartbeat. */
    void beat() {
        String entry;
        String key;
        synchronized (this) {
            if (!up || silent) {
                return;
            }
            key = identifier;
            entry = createEntry().toString();
            // Under the lock, so that no entry follows one of a later life.
            world.store.put("keyed.servers", key, entry);
        }
    }

    private ObjectNode createEntry() {
        ObjectNode entry = World.JSON
                .createObjectNode()
                .put("service", service)
                .put("address", address())
                .put("zone", zone)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("coldRemainingMs", 0)
                .put("born", born)
                .put("clockMs", clock())
                .put("seqNo", ++sequence);
        entry.putObject("capacity").put("cpu", millicores).put("memMb", megabytes).put("gpu", 0);
        ArrayNode names = entry.putArray("labels");
        labels.forEach(names::add);
        return entry;
    }

    private long clock() {
        return (System.nanoTime() - startedNanoseconds) / 1_000_000;
    }

    private void endDueRuns() {
        if (!up) {
            return;
        }
        long now = clock();
        if (now == lastChecked) {
            return;
        }
        lastChecked = now;
        for (Run run : List.copyOf(active.values())) {
            if (run.stopsAt <= Math.min(now, leaseEnd)) {
                end(run, "stopped");
            } else if (!run.lasts && run.due <= Math.min(now, leaseEnd)) {
                end(run, "done");
            } else if (now > leaseEnd) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        active.remove(run.task);
        takenMillicores -= run.millicores;
        refusedUpTo.merge(run.task, run.attempt, Math::max);
        lapsesBefore.put(nextEnd, lapses);
        ended.add(World.JSON
                .createArrayNode()
                .add(nextEnd++)
                .add(run.task)
                .add(run.attempt)
                .add(how)
                .add(""));
        world.onRunEnded(run.task, run.attempt, identifier, how);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] request = exchange.getRequestBody().readAllBytes();
        synchronized (this) {
            if (silent || !up) {
                // No answer: the connection stays open until its sender gives up.
                return;
            }
        }
        try (exchange) {
            JsonNode body = World.JSON.readTree(request.length == 0 ? "{}".getBytes() : request);
            String path = exchange.getRequestURI().getPath();
            String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
            if (path.equals("/healthz")) {
                World.send(exchange, 200, new byte[0]);
                return;
            }
            if (expected != null && !expected.equals(identifier())) {
                World.send(exchange, 421, new byte[0]);
                return;
            }
            String refusal = carryOut(path, body);
            if (path.equals("/v1/hold") && refusal.isEmpty() && body.path("waitMs").asLong() > 0) {
                awaitEnd(body);
            }
            ObjectNode response;
            synchronized (this) {
                if (silent || !up) {
                    return;
                }
                response = refusal.isEmpty() && path.equals("/v1/hold") ? createListing(body) : createResponse();
            }
            if (!refusal.isEmpty()) {
                response.put("reason", refusal);
            }
            World.send(exchange, refusal.isEmpty() ? 200 : 409, World.JSON.writeValueAsBytes(response));
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String carryOut(String path, JsonNode body) {
        endDueRuns();
        long token = body.path("fencingToken").asLong();
        if (token < fence) {
            return "fence";
        }
        fence = token;
        return switch (path) {
            case "/v1/run-start" -> startRun(body);
            case "/v1/run-stop" -> stopRun(body);
            case "/v1/hold" -> {
                extendLease(body);
                yield "";
            }
            default -> "";
        };
    }

    private String startRun(JsonNode body) {
        String task = body.path("task").asText();
        long attempt = body.path("attempt").asLong();
        Run present = active.get(task);
        if (present != null && present.attempt == attempt) {
            return "";
        }
        if (body.path("deadlineMs").asLong() <= clock()) {
            return "late";
        }
        extendLease(body);
        if (present != null || attempt <= refusedUpTo.getOrDefault(task, 0L)) {
            return "old";
        }
        Map<String, Long> words = World.parseText(body.path("spec").asText());
        Run run = new Run();
        run.task = task;
        run.attempt = attempt;
        run.millicores = words.getOrDefault("cpu", 1_000L).intValue();
        run.lasts = words.getOrDefault("lasts", 0L) > 0;
        run.saves = words.getOrDefault("saves", 0L) > 0;
        if (takenMillicores + run.millicores > millicores) {
            return "room";
        }
        run.begun = clock();
        // Tasks of later steps take the time that the text names for them.
        String word = task.split("\\.")[2].equals("0") || !words.containsKey("then") ? "ms" : "then";
        run.due = run.begun + words.getOrDefault(word, 1_000L);
        active.put(task, run);
        takenMillicores += run.millicores;
        world.onRunBegun(task, attempt, identifier, labels, token(body));
        return "";
    }

    private static long token(JsonNode body) {
        return body.path("fencingToken").asLong();
    }

    private String stopRun(JsonNode body) {
        String task = body.path("task").asText();
        long attempt = body.path("attempt").asLong();
        refusedUpTo.merge(task, attempt, Math::max);
        Run present = active.get(task);
        if (present != null && present.attempt <= attempt) {
            present.stopsAt = Math.min(present.stopsAt, clock() + STOP_MILLISECONDS);
        }
        return "";
    }

    private void extendLease(JsonNode body) {
        long longest = clock() + MAX_LEASE_MILLISECONDS;
        lapses += clock() > leaseEnd ? 1 : 0;
        leaseEnd = Math.max(leaseEnd, Math.min(body.path("deadlineMs").asLong(), longest));
    }

    private ObjectNode createResponse() {
        return World.JSON.createObjectNode().put("clockMs", clock()).put("born", born);
    }

    private void awaitEnd(JsonNode body) throws InterruptedException {
        long until = System.nanoTime()
                + Math.min(MAX_WAIT_MILLISECONDS, body.path("waitMs").asLong()) * 1_000_000;
        long acknowledged = body.path("ackPosition").asLong();
        while (System.nanoTime() < until) {
            synchronized (this) {
                endDueRuns();
                if (!up || silent || ended.stream().anyMatch(end -> end.get(0).asLong() > acknowledged)) {
                    return;
                }
            }
            Thread.sleep(5);
        }
    }

    private ObjectNode createListing(JsonNode body) {
        endDueRuns();
        long acknowledged = body.path("ackPosition").asLong();
        for (ArrayNode end : ended) {
            if (end.get(0).asLong() <= acknowledged) {
                boolean lapsed = lapsesBefore.getOrDefault(end.get(0).asLong(), lapses) < lapses;
                world.onAcknowledged(
                        end.get(1).asText(), end.get(2).asLong(), identifier, end.get(3).asText(), lapsed);
            }
        }
        ended.removeIf(end -> end.get(0).asLong() <= acknowledged);
        ObjectNode listing = createResponse();
        ArrayNode rows = listing.putArray("active");
        for (Run run : active.values()) {
            long age = clock() - run.begun;
            long percent = run.lasts
                    ? (age >= START_UP_MILLISECONDS ? 100 : 0)
                    : Math.min(100, age * 100 / Math.max(1, run.due - run.begun));
            // A new value with each half second of work, where the tasks save their progress.
            String saved = run.saves && age >= 500 ? String.format("%08x%08x", age / 500, run.task.hashCode()) : "";
            rows.addArray().add(run.task).add(run.attempt).add(saved).add(percent).add(0);
        }
        ArrayNode ends = listing.putArray("ended");
        ended.stream().limit(ENDS_PER_PAGE).forEach(ends::add);
        return listing;
    }
}
