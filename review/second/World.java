package review.second;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadalead.platform.LoopbackStore;

/**
 * A small deployment on loopback addresses: the platform's store and machine interface, workers, and entry processes
 * that are started with the run line of the deploy file. Everything that the scenario sends, and everything that
 * workers run, goes to the record.
 */
final class World implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final long HEARTBEAT_MILLISECONDS = 1_500;

    /** As {@code platform.recordBytes} and {@code platform.requestBytes} in the settings. */
    private static final int RECORD_BYTES = 262_144;

    private static final int REQUEST_BYTES = 2_097_152;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(3);

    final LoopbackStore store = new LoopbackStore();
    final Map<String, StandInWorker> workers = new HashMap<>();
    final List<Entry> entries = new ArrayList<>();
    final List<RunOnWorker> runs = new ArrayList<>();
    private final Map<String, RunOnWorker> runsByName = new HashMap<>();
    private final Map<String, String> poolOfMachine = new HashMap<>();
    private final Map<String, String> zoneOfMachine = new HashMap<>();
    private final Map<String, Long> lastBeat = new HashMap<>();
    private final Map<String, Long> highestDutyToken = new HashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Path folder;
    private final PrintWriter log;
    private long flushedAt;
    private final long begun = System.nanoTime();
    private final String network;
    private final HttpClient client;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, World::daemon);
    private final String storeAddress;
    private final String cloudAddress;
    private int nextIdentifier = 1;

    /** One run on a worker: when it began and ended by the clock of the test, and how. */
    static final class RunOnWorker {
        String task;
        long attempt;
        String worker;
        List<String> labels;
        long begunMilliseconds;
        long endedMilliseconds = Long.MAX_VALUE;
        String how = "";
        boolean acknowledged;
        /** Whether the worker's lease lapsed between its end and that. */
        boolean lapsedBefore;
    }

    /** An entry process. */
    static final class Entry {
        String name;
        String ip;
        int frontendPort;
        int readyPort;
        int peerPort;
        ProcessBuilder start;
        volatile Process process;

        String frontend() {
            return ip + ":" + frontendPort;
        }
    }

    World(Path recordFolder) throws IOException {
        Random random = new Random();
        network = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        folder = Files.createTempDirectory("review-second");
        log = new PrintWriter(Files.newBufferedWriter(recordFolder.resolve("record.txt")));
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
        storeAddress = serve(network + "1", this::handleStore);
        cloudAddress = serve(network + "2", this::handleCloud);
        timers.scheduleWithFixedDelay(this::beatAll, 20, 20, TimeUnit.MILLISECONDS);
    }

    /** Rejects an append with a record or a body that is longer than the settings say; leaves all else to the store. */
    private void handleStore(HttpExchange exchange) throws IOException {
        if (exchange.getRequestURI().getPath().equals("/v1/log-append")) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            int longest = 0;
            ByteBuffer buffer = ByteBuffer.wrap(body);
            while (buffer.remaining() >= Integer.BYTES) {
                int length = buffer.getInt();
                longest = Math.max(longest, length);
                buffer.position(buffer.position() + length);
            }
            if (longest > RECORD_BYTES || body.length > REQUEST_BYTES) {
                record("the store rejects an append to " + exchange.getRequestURI().getQuery() + " with a record of "
                        + longest + " bytes");
                send(exchange, 400, new byte[0]);
                exchange.close();
                return;
            }
            exchange.setStreams(new ByteArrayInputStream(body), null);
        }
        store.handle(exchange);
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private String serve(String ip, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(World::daemon));
        server.createContext("/", handler::handle);
        server.start();
        servers.add(server);
        return ip + ":" + server.getAddress().getPort();
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    }

    long now() {
        return (System.nanoTime() - begun) / 1_000_000;
    }

    void record(String line) {
        // A lock of its own, which is taken last, as workers record while they are locked.
        synchronized (log) {
            log.printf("%8.3f %s%n", now() / 1_000.0, line);
            if (now() - flushedAt > 200) {
                log.flush();
                flushedAt = now();
            }
        }
    }

    static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    /** Reads the words of the form name=number in the text of a job. */
    static Map<String, Long> parseText(String text) {
        Map<String, Long> words = new HashMap<>();
        for (String word : text.split(" ")) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                words.put(word.substring(0, equals), Long.parseLong(word.substring(equals + 1)));
            }
        }
        return words;
    }

    // ---- workers

    synchronized String newIdentifier() {
        return String.format("i-%08x", 0x5a000000 + nextIdentifier++);
    }

    /** Adds a machine with a worker. */
    StandInWorker addWorker(String service, String zone, int millicores, int megabytes, List<String> labels)
            throws IOException {
        String ip = network + (20 + workers.size());
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            port = free.getLocalPort();
        }
        StandInWorker worker = new StandInWorker(this, "m-" + workers.size(), ip, port);
        synchronized (this) {
            workers.put(worker.machine, worker);
            poolOfMachine.put(worker.machine, service);
            zoneOfMachine.put(worker.machine, zone);
        }
        worker.start(newIdentifier(), service, zone, millicores, megabytes, labels);
        return worker;
    }

    /** Lets each worker write its entry once a heartbeat, and removes entries after three heartbeats of silence. */
    private void beatAll() {
        List<StandInWorker> present;
        synchronized (this) {
            present = List.copyOf(workers.values());
        }
        long now = now();
        for (StandInWorker worker : present) {
            // So that runs end in time also while nobody calls the worker.
            worker.countRuns();
            if (worker.isUp() && now - lastBeat.getOrDefault(worker.machine, -10_000L) >= HEARTBEAT_MILLISECONDS) {
                lastBeat.put(worker.machine, now);
                worker.beat();
                lastEntry.put(worker.identifier(), now);
            }
        }
        for (Map.Entry<String, Long> entry : Map.copyOf(lastEntry).entrySet()) {
            boolean lives = present.stream()
                    .anyMatch(worker -> worker.isUp() && entry.getKey().equals(worker.identifier()));
            if (!lives && now - entry.getValue() >= 3 * HEARTBEAT_MILLISECONDS) {
                lastEntry.remove(entry.getKey());
                store.put("keyed.servers", entry.getKey(), "");
                record("the entry of " + entry.getKey() + " has expired");
            }
        }
    }

    private final Map<String, Long> lastEntry = new HashMap<>();

    void onRunBegun(String task, long attempt, String worker, List<String> labels, long token) {
        synchronized (runs) {
            RunOnWorker run = new RunOnWorker();
            run.task = task;
            run.attempt = attempt;
            run.worker = worker;
            run.labels = labels;
            run.begunMilliseconds = now();
            runs.add(run);
            runsByName.put(worker + " " + attempt + " " + task, run);
            record("run    " + task + " attempt " + attempt + " begins on " + worker + " " + labels + " by token " + token);
        }
    }

    void onRunEnded(String task, long attempt, String worker, String how) {
        synchronized (runs) {
            RunOnWorker run = runsByName.get(worker + " " + attempt + " " + task);
            if (run != null && run.how.isEmpty()) {
                run.how = how;
                run.endedMilliseconds = now();
                record("run    " + task + " attempt " + attempt + " ends on " + worker + ": " + how);
            }
        }
    }

    void onAcknowledged(String task, long attempt, String worker, String how, boolean lapsed) {
        synchronized (runs) {
            RunOnWorker run = runsByName.get(worker + " " + attempt + " " + task);
            if (run != null && !run.acknowledged) {
                run.acknowledged = true;
                run.lapsedBefore = lapsed;
                record("ended  " + task + " attempt " + attempt + " on " + worker + " is taken note of: " + how);
            }
        }
    }

    List<RunOnWorker> runsOf(String prefix) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.task.startsWith(prefix)).toList();
        }
    }

    // ---- the platform's machine interface

    private void handleCloud(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] request = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            if (path.equals("/v1/machines")) {
                send(exchange, 200, JSON.writeValueAsBytes(listMachines()));
                return;
            }
            JsonNode body = JSON.readTree(request);
            String token = exchange.getRequestHeaders().getFirst("X-Fencing-Token");
            String reason = order(path, body, token == null ? 0 : Long.parseLong(token));
            switch (reason) {
                case "" -> send(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8));
                case "none" -> send(exchange, 400, new byte[0]);
                default -> send(exchange, 409, ("{\"reason\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private final Map<String, String> stateOfMachine = new HashMap<>();

    private synchronized ObjectNode listMachines() {
        ObjectNode response = JSON.createObjectNode();
        ArrayNode machines = response.putArray("machines");
        for (StandInWorker worker : workers.values()) {
            String state = stateOfMachine.getOrDefault(worker.machine, worker.isUp() ? "up" : "down");
            ObjectNode row = machines.addObject()
                    .put("hostMachine", worker.machine)
                    .put("pool", poolOfMachine.get(worker.machine))
                    .put("state", state)
                    .put("zone", zoneOfMachine.get(worker.machine));
            ArrayNode labels = row.putArray("labels");
            worker.labels().forEach(labels::add);
            row.putObject("capacity")
                    .put("cpu", worker.millicores())
                    .put("memMb", worker.megabytes())
                    .put("gpu", 0);
            row.put("id", state.equals("up") ? worker.identifier() : "");
        }
        response.putNull("nextToken");
        return response;
    }

    /** Carries a move out; no wave is ever due here. Returns the reason of a refusal, or an empty text. */
    private String order(String path, JsonNode body, long token) {
        String machine = body.path("hostMachine").asText();
        String pool = body.path("pool").asText();
        StandInWorker worker;
        synchronized (this) {
            worker = workers.get(machine);
            if (worker == null || !path.equals("/v1/machine-move") || !poolOfMachine.containsValue(pool)) {
                return "none";
            }
            if (token < highestDutyToken.getOrDefault(machine, 0L)) {
                return "fence";
            }
            highestDutyToken.put(machine, token);
            if (poolOfMachine.get(machine).equals(pool)) {
                return "";
            }
            if (!worker.isUp() || stateOfMachine.containsKey(machine)) {
                return "busy";
            }
            poolOfMachine.put(machine, pool);
            stateOfMachine.put(machine, "moving");
        }
        record("machine " + machine + " moves to " + pool);
        worker.crash();
        timers.schedule(
                () -> {
                    try {
                        worker.start(
                                newIdentifier(),
                                pool,
                                zoneOfMachine.get(machine),
                                worker.millicores(),
                                worker.megabytes(),
                                worker.labels());
                    } catch (IOException failure) {
                        record("machine " + machine + " cannot start: " + failure);
                    }
                    synchronized (this) {
                        stateOfMachine.remove(machine);
                    }
                },
                1_500,
                TimeUnit.MILLISECONDS);
        return "";
    }

    // ---- the operator

    /** Puts a configuration; each queue is a text of the form {@code name prefix service maxAttempts}. */
    void putConfiguration(long version, List<String> services, List<String> queues) {
        ObjectNode configuration = JSON.createObjectNode().put("version", version);
        ArrayNode routes = configuration.putArray("routes");
        for (String queue : queues) {
            String[] words = queue.split(" ");
            routes.addObject()
                    .put("name", words[0])
                    .put("host", "jobs.example")
                    .put("pathPrefix", words[1])
                    .put("kind", "non_idempotent")
                    .put("timeoutMs", 3_000)
                    .put("targetDurationMs", 600)
                    .put("priority", 0)
                    .put("service", words[2])
                    .put("maxAttempts", Integer.parseInt(words[3]))
                    .put("slackFactor", 1.6);
        }
        ArrayNode pools = configuration.putArray("services");
        services.forEach(
                service -> pools.addObject().put("name", service).put("enforceCapacity", true));
        configuration.putObject("limits").put("maxBodyBytes", 262_144);
        store.put("keyed.op", "config", configuration.toString());
        record("the operator puts configuration " + version + ": " + queues);
    }

    // ---- entry processes

    Entry startEntry(String name, String zone) throws IOException {
        Entry entry = new Entry();
        entry.name = name;
        entry.ip = network + (5 + entries.size());
        entry.frontendPort = freePort(entry.ip);
        entry.readyPort = freePort(entry.ip);
        entry.peerPort = freePort(entry.ip);
        Path settings = folder.resolve(name + ".conf");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "nodeName=" + name,
                        "role=entry",
                        "machineClass=frontend",
                        "serves=frontend",
                        "ip=" + entry.ip,
                        "zone=" + zone,
                        "region=jamaica",
                        "listenAddrs.frontend=" + entry.frontend(),
                        "listenAddrs.ready=" + entry.ip + ":" + entry.readyPort,
                        "internalPortRange=" + entry.peerPort + "," + (entry.peerPort + 15),
                        "bootstrap=true",
                        "limits.cpuShare=0.75",
                        "limits.cores=1",
                        "limits.memoryMb=430",
                        "limits.maxFds=4100",
                        "heartbeatMs=" + HEARTBEAT_MILLISECONDS,
                        "bounds.contactMs=3000",
                        "bounds.ackTimeoutMs=4000",
                        "bounds.drainMs=2000",
                        "bounds.graceS=6",
                        "bounds.configApplyMs=2000",
                        "bounds.maxStretchMs=5000",
                        "bounds.holdMaxMs=" + StandInWorker.MAX_LEASE_MILLISECONDS,
                        "bounds.stopTimeoutMs=200",
                        "bounds.cancel_ms=3000",
                        "bounds.visible_ms=3000",
                        "bounds.migrationS=1.5",
                        "bounds.maintenanceS=2",
                        "bounds.fencingEnforced=true",
                        "bounds.leaseMs=3000",
                        "commands=dispatch",
                        "platform.address=" + storeAddress,
                        "platform.form=log",
                        "platform.recordBytes=" + RECORD_BYTES,
                        "platform.requestBytes=" + REQUEST_BYTES,
                        "cloudApi.address=" + cloudAddress,
                        "cloudApi.ratePerS=64.0",
                        "cloudApi.dutyPerS=64.0",
                        ""));
        ProcessBuilder builder = new ProcessBuilder(readRunLine());
        builder.environment().put("CICADALEAD_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        entry.start = builder;
        entry.process = builder.start();
        entries.add(entry);
        record("process " + name + " starts at " + entry.frontend());
        return entry;
    }

    private static List<String> readRunLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    private static int freePort(String ip) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = 20_000 + random.nextInt(12_000);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                return free.getLocalPort();
            } catch (IOException inUse) {
                // The next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    /** Waits until a process serves; false after a minute. */
    boolean awaitReady(Entry entry) throws InterruptedException {
        long until = now() + 60_000;
        while (now() < until) {
            try {
                int status = client.send(
                                HttpRequest.newBuilder(
                                                URI.create("http://" + entry.ip + ":" + entry.readyPort + "/v1/readyz"))
                                        .timeout(Duration.ofSeconds(1))
                                        .build(),
                                HttpResponse.BodyHandlers.discarding())
                        .statusCode();
                if (status == 200) {
                    return true;
                }
            } catch (IOException notYet) {
                // It is starting.
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the process that leads, by the newest record of the leader; null when there is none. */
    Entry findLeader() {
        String leader = store.newestLeaderRecord();
        for (Entry entry : entries) {
            if (entry.process.isAlive() && leader.contains(entry.ip + ":" + entry.peerPort)) {
                return entry;
            }
        }
        return null;
    }

    /** Kills a process, as SIGKILL does; the platform starts it again after half a second, at the same addresses. */
    void kill(Entry entry) throws InterruptedException {
        record("process " + entry.name + " is killed");
        entry.process.destroyForcibly().waitFor();
        timers.schedule(
                () -> {
                    try {
                        entry.process = entry.start.start();
                        record("process " + entry.name + " starts again");
                    } catch (IOException failure) {
                        record("process " + entry.name + " cannot start: " + failure);
                    }
                },
                500,
                TimeUnit.MILLISECONDS);
    }

    // ---- clients

    /** An answer to a client; status 0 stands for none. */
    record Answer(int status, String body) {}

    Answer call(Entry entry, String method, String path, String body) throws InterruptedException {
        record("client " + method + " " + path + " at " + entry.name);
        try {
            HttpResponse<String> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + entry.frontend() + path))
                            .header("Host", "jobs.example")
                            .header("X-Deadline-Ms", Long.toString(CALLER_TIMEOUT.toMillis()))
                            .header("Content-Type", "application/json")
                            .timeout(CALLER_TIMEOUT)
                            .method(
                                    method,
                                    body.isEmpty()
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            record("answer " + method + " " + path + ": " + response.statusCode() + " " + response.body());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException none) {
            record("answer " + method + " " + path + ": none, " + none);
            return new Answer(0, "");
        }
    }

    /** Calls one living process after the other, until one accepts; false after ten tries. */
    boolean submit(String path, String body) throws InterruptedException {
        for (int attempt = 0; attempt < 10; attempt++) {
            Entry entry = entries.get(attempt % entries.size());
            if (entry.process.isAlive() && call(entry, "POST", path, body).status() == 200) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Asks the living processes for the state of a job until one of them knows it; empty after ten tries. */
    String findState(String path) throws InterruptedException {
        for (int attempt = 0; attempt < 10; attempt++) {
            Entry entry = entries.get(attempt % entries.size());
            if (entry.process.isAlive()) {
                Answer answer = call(entry, "GET", path, "");
                if (answer.status() == 200) {
                    try {
                        return JSON.readTree(answer.body()).path("state").asText();
                    } catch (IOException unreadable) {
                        return "";
                    }
                }
                if (answer.status() == 410) {
                    return "410";
                }
            }
            Thread.sleep(200);
        }
        return "";
    }

    /** Ends all processes that were started. */
    void endProcesses() {
        for (Entry entry : entries) {
            entry.process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        endProcesses();
        for (Entry entry : entries) {
            try {
                entry.process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        workers.values().forEach(StandInWorker::crash);
        servers.forEach(server -> server.stop(0));
        log.close();
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            if (System.getenv("KEEP_LOGS") == null) {
                file.delete();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            folder.toFile().delete();
        }
    }
}
