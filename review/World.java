import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment on loopback addresses: a store, workers, the machine interface, entry processes and a client. */
final class World implements AutoCloseable {
    static final String HOST = "jobs.example";

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private static final String SERVICE = "premium-desk";
    private static final String STANDBY = "member-portal";
    private static final long TIME_LIMIT_MS = 110_000;

    final Recorder recorder;
    final Store store = new Store();
    final List<Worker> workers = new ArrayList<>();
    final List<Worker.Event> events = Collections.synchronizedList(new ArrayList<>());
    final Map<String, long[]> sizeByJob = new ConcurrentHashMap<>();
    final Cloud cloud;
    final Daemons daemons;
    private final Path folder;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /** An answer to the client; status 0 when there was none. */
    record Answer(int status, String body) {}

    World(Path caseFolder, boolean hasStandby) throws IOException {
        this.recorder = new Recorder(caseFolder.resolve("record.txt"));
        this.folder = Files.createTempDirectory("review");
        this.cloud = new Cloud(recorder, STANDBY);
        this.daemons = new Daemons(Path.of("").toAbsolutePath(), folder, recorder, store, cloud);
        store.put("keyed.op", "config", configuration(hasStandby));
    }

    private static String configuration(boolean hasStandby) {
        ObjectNode config = Http.JSON.createObjectNode();
        config.put("version", 1);
        ArrayNode routes = config.putArray("routes");
        routes.add(route("r-short", "/short/"));
        routes.add(route("r-lasting", "/lasting/"));
        ArrayNode services = config.putArray("services");
        services.add(service(SERVICE, false));
        if (hasStandby) {
            services.add(service(STANDBY, true));
        }
        config.putObject("limits").put("maxHeaderBytes", 16384).put("maxBodyBytes", 262144);
        return config.toString();
    }

    private static ObjectNode service(String name, boolean standby) {
        return Http.JSON
                .createObjectNode()
                .put("name", name)
                .put("healthPath", "/healthz")
                .put("maxConns", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("enforceCapacity", true)
                .put("standby", standby);
    }

    private static ObjectNode route(String name, String prefix) {
        return Http.JSON
                .createObjectNode()
                .put("name", name)
                .put("host", HOST)
                .put("pathPrefix", prefix)
                .put("kind", "non_idempotent")
                .put("timeoutMs", 3000)
                .put("targetDurationMs", 2500)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("maxAttempts", 3)
                .put("slackFactor", 2.2);
    }

    /** Adds a worker of 64 cores and 256 GB in a rack of its own, as on the users' sheet. */
    Worker addWorker(int number) throws IOException {
        Worker worker = new Worker(
                "i-worker" + number,
                "m-" + number,
                SERVICE,
                "r-" + number,
                64_000,
                262_144,
                sizeByJob,
                store,
                recorder,
                events);
        workers.add(worker);
        worker.start(daemons.ip(100 + number));
        cloud.add(worker, SERVICE);
        return worker;
    }

    Worker worker(String id) {
        return workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElseThrow();
    }

    /** Waits until one process leads and every process answers a count of a queue. */
    boolean awaitReady(long milliseconds) throws InterruptedException {
        long deadline = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < deadline) {
            boolean ready = daemons.leader() != null;
            for (Daemons.Daemon daemon : daemons.daemons) {
                ready = ready && call("GET", daemon, "/short/", "", false).status == 200;
            }
            if (ready) {
                recorder.line("ready; leader is " + daemons.leader().name);
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    Answer call(String method, Daemons.Daemon daemon, String path, String body) {
        return call(method, daemon, path, body, true);
    }

    /** Sends a request as a client does. */
    Answer call(String method, Daemons.Daemon daemon, String path, String body, boolean recorded) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon.frontend() + path))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .header("X-Deadline-Ms", "3000")
                .timeout(Duration.ofSeconds(4))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
        long sentAt = recorder.now();
        Answer answer;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException failure) {
            answer = new Answer(0, failure.toString());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            answer = new Answer(0, "interrupted");
        }
        if (recorded) {
            recorder.line("client: " + method + " " + path + " to " + daemon.name + ", sent at " + sentAt + " ms -> "
                    + answer.status + " " + answer.body);
        }
        return answer;
    }

    /** Submits a job of one step. */
    Answer submit(Daemons.Daemon daemon, String prefix, String job, int count, long cpu, long mem, String spec,
            boolean lasting, long estimatedMs) {
        sizeByJob.put(job, new long[] {cpu, mem});
        ObjectNode body = Http.JSON.createObjectNode();
        body.put("spec", spec);
        ObjectNode step = body.putArray("jobSteps").addObject();
        step.put("count", count).put("cpu", cpu).put("memMb", mem).put("estimatedMs", estimatedMs);
        if (lasting) {
            step.put("longRunning", true);
        }
        return call("POST", daemon, prefix + job, body.toString());
    }

    static String newId(int number) {
        return String.format("%08x%08x", (int) System.nanoTime(), number);
    }

    /** Returns the events so far of a task's runs or, with an empty prefix, of all. */
    List<Worker.Event> eventsOf(String prefix) {
        synchronized (events) {
            return events.stream().filter(event -> event.task().startsWith(prefix)).toList();
        }
    }

    /** Writes all starts and ends to the record. */
    void recordEvents() {
        Map<String, Integer> counts = new HashMap<>();
        for (Worker.Event event : eventsOf("")) {
            counts.merge(event.what() + " " + event.how(), 1, Integer::sum);
            recorder.line("run: at " + event.at() + " ms " + event.worker() + " " + event.what() + " " + event.task()
                    + " attempt " + event.attempt() + " " + event.how()
                    + (event.number() > 0 ? " end number " + event.number() : ""));
        }
        recorder.line("counts: " + counts);
    }

    /** A scenario of a case; returns the exit status of its script. */
    interface Scenario {
        int run(World world, boolean trouble) throws Exception;
    }

    /** Runs a scenario, ends all processes and exits; with TROUBLE=0 the scenario leaves its disruption out. */
    static void play(String caseFolder, Scenario scenario) {
        play(caseFolder, false, scenario);
    }

    /** Runs a scenario in a deployment that may have a pool of machines that are off. */
    static void play(String caseFolder, boolean hasStandby, Scenario scenario) {
        int result = 2;
        try (World world = new World(Path.of(caseFolder), hasStandby)) {
            Runtime.getRuntime().addShutdownHook(new Thread(world.daemons::close));
            Thread limit = new Thread(() -> {
                try {
                    Thread.sleep(TIME_LIMIT_MS);
                } catch (InterruptedException interrupted) {
                    return;
                }
                world.recorder.line("the time limit of the script is over");
                System.exit(2);
            });
            limit.setDaemon(true);
            limit.start();
            try {
                result = scenario.run(world, !"0".equals(System.getenv("TROUBLE")));
            } catch (Exception failure) {
                world.recorder.line("the script failed: " + failure);
            }
            world.recorder.line("exit status " + result);
        } catch (IOException failure) {
            System.err.println(failure);
        }
        System.exit(result);
    }

    @Override
    public void close() {
        daemons.close();
        recorder.close();
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException notDeleted) {
            // The folder is temporary.
        }
    }
}
