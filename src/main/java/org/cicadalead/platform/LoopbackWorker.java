package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Serves a worker over HTTP. A run takes the time that its payload states, or else the same short time as every other,
 * and ends earlier when the worker's lease expires. Safe for use by several threads.
 */
public final class LoopbackWorker {
    /** Name of the service that all workers belong to. */
    static final String SERVICE = "planning";

    /** Maximum duration of a lease. */
    static final long MAX_LEASE_MILLISECONDS = 6_000;

    private static final long RUN_MILLISECONDS = 60;
    private static final long MAX_WAIT_MILLISECONDS = 2_000;
    private static final long POLL_INTERVAL_MILLISECONDS = 5;
    private static final int ENDS_PER_PAGE = 500;
    private static final Pattern DURATION = Pattern.compile("run ([0-9]{1,6}) ms");

    private final long startedAtMilliseconds = System.currentTimeMillis();
    private final long startedAtNanoseconds = System.nanoTime();
    private final String identifier;
    private final int millicores;
    private final int megabytes;
    private final RunListener listener;
    private final Map<String, Run> active = new LinkedHashMap<>();
    private final Map<String, Long> highestEndedAttempts = new HashMap<>();
    private final List<ArrayNode> ended = new ArrayList<>();
    private final List<String> starts = new ArrayList<>();
    private long fence;
    private long leaseEnd;
    private long nextEndPosition = 1;
    private long sequence;

    /** Is told of the runs of workers, each by one call while the worker is locked. */
    public interface RunListener {
        /** Ignores all runs. */
        RunListener NONE = (worker, task, attempt, startedAt, endedAt) -> {};

        /**
         * Is called once for each run when it ends.
         *
         * @param worker identifier of the worker
         * @param task name of the task
         * @param attempt number of the task's start
         * @param startedAt monotonic time in nanoseconds
         * @param endedAt monotonic time in nanoseconds
         */
        void onEnded(String worker, String task, long attempt, long startedAt, long endedAt);
    }

    private record Run(String task, long attempt, long startedAtNanoseconds, long dueAtNanoseconds) {}

    /** Creates a worker that runs nothing. */
    public LoopbackWorker(String identifier, int millicores, int megabytes, RunListener listener) {
        this.identifier = identifier;
        this.millicores = millicores;
        this.megabytes = megabytes;
        this.listener = listener;
    }

    /** Returns a payload for a job whose tasks run for a time. */
    public static String payload(long milliseconds) {
        return "run " + milliseconds + " ms";
    }

    String identifier() {
        return identifier;
    }

    /** Returns the started tasks in the order of their starts. */
    synchronized List<String> starts() {
        return List.copyOf(starts);
    }

    /** Ends the runs that are due, and returns the number of those that go on. */
    public synchronized int endDueRuns() {
        long now = System.nanoTime();
        long leaseEndNanoseconds = startedAtNanoseconds + TimeUnit.MILLISECONDS.toNanos(leaseEnd);
        for (Run run : List.copyOf(active.values())) {
            if (run.dueAtNanoseconds() - Math.min(now, leaseEndNanoseconds) <= 0) {
                end(run, "done", run.dueAtNanoseconds());
            } else if (now - leaseEndNanoseconds > 0) {
                end(run, "lapsed", leaseEndNanoseconds);
            }
        }
        return active.size();
    }

    private void end(Run run, String ending, long endedAtNanoseconds) {
        active.remove(run.task());
        highestEndedAttempts.merge(run.task(), run.attempt(), Math::max);
        ended.add(PlatformHttpClient.JSON
                .createArrayNode()
                .add(nextEndPosition++)
                .add(run.task())
                .add(run.attempt())
                .add(ending)
                .add(""));
        listener.onEnded(identifier, run.task(), run.attempt(), run.startedAtNanoseconds(), endedAtNanoseconds);
    }

    private long clockMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanoseconds);
    }

    /** Returns what the worker reports of itself with its next heartbeat. */
    synchronized String nextEntry(String address) {
        ObjectNode entry = PlatformHttpClient.JSON
                .createObjectNode()
                .put("service", SERVICE)
                .put("address", address)
                .put("zone", "zone")
                .put("state", "ready")
                .put("born", startedAtMilliseconds)
                .put("clockMs", clockMilliseconds())
                .put("seqNo", ++sequence);
        entry.putObject("capacity")
                .put("cpu", millicores)
                .put("memMb", megabytes)
                .put("gpu", 0);
        entry.putArray("labels").add("a").add("r1");
        return entry.toString();
    }

    /** Answers a call of an entry process. */
    public void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            JsonNode body = PlatformHttpClient.decode(exchange.getRequestBody().readAllBytes());
            String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
            if (expected != null && !expected.equals(identifier)) {
                LoopbackPlatform.send(exchange, PlatformHttpClient.MISDIRECTED_REQUEST, new byte[0]);
                return;
            }
            String rejection = carryOut(exchange.getRequestURI().getPath(), body);
            if (!rejection.isEmpty()) {
                LoopbackPlatform.send(
                        exchange,
                        PlatformHttpClient.CONFLICT,
                        PlatformHttpClient.encode(createResponse().put("reason", rejection)));
                return;
            }
            if (body.path("waitMs").asLong() > 0) {
                awaitEndedRun(body);
            }
            LoopbackPlatform.send(exchange, PlatformHttpClient.OK, PlatformHttpClient.encode(createListing(body)));
        }
    }

    /** Carries an order out and returns the reason for which it was rejected, or an empty text. */
    private synchronized String carryOut(String path, JsonNode body) {
        endDueRuns();
        long token = body.path("fencingToken").asLong();
        if (token < fence) {
            return "fence";
        }
        fence = token;
        return switch (path) {
            case "/v1/run-start" -> start(body);
            case "/v1/run-stop" -> stop(body);
            default -> {
                extendLease(body);
                yield "";
            }
        };
    }

    private String start(JsonNode body) {
        String task = body.path("task").asText();
        long attempt = body.path("attempt").asLong();
        Run present = active.get(task);
        if (present != null && present.attempt() == attempt) {
            return "";
        }
        if (body.path("deadlineMs").asLong() <= clockMilliseconds()) {
            return "late";
        }
        extendLease(body);
        if (present != null || attempt <= highestEndedAttempts.getOrDefault(task, 0L)) {
            return "old";
        }
        Matcher duration = DURATION.matcher(body.path("spec").asText());
        long milliseconds = duration.matches() ? Long.parseLong(duration.group(1)) : RUN_MILLISECONDS;
        long now = System.nanoTime();
        starts.add(task);
        active.put(task, new Run(task, attempt, now, now + TimeUnit.MILLISECONDS.toNanos(milliseconds)));
        return "";
    }

    private String stop(JsonNode body) {
        String task = body.path("task").asText();
        long attempt = body.path("attempt").asLong();
        highestEndedAttempts.merge(task, attempt, Math::max);
        Run present = active.get(task);
        if (present != null && present.attempt() <= attempt) {
            end(present, "stopped", System.nanoTime());
        }
        return "";
    }

    private void extendLease(JsonNode body) {
        long maximum = clockMilliseconds() + MAX_LEASE_MILLISECONDS;
        leaseEnd = Math.max(leaseEnd, Math.min(body.path("deadlineMs").asLong(), maximum));
    }

    private ObjectNode createResponse() {
        return PlatformHttpClient.JSON
                .createObjectNode()
                .put("clockMs", clockMilliseconds())
                .put("born", startedAtMilliseconds);
    }

    private void awaitEndedRun(JsonNode body) {
        long waitMilliseconds =
                Math.min(MAX_WAIT_MILLISECONDS, body.path("waitMs").asLong());
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMilliseconds);
        long acknowledged = body.path("ackPosition").asLong();
        try {
            while (System.nanoTime() - deadline < 0 && !hasUnacknowledgedEnds(acknowledged)) {
                Thread.sleep(POLL_INTERVAL_MILLISECONDS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean hasUnacknowledgedEnds(long acknowledged) {
        endDueRuns();
        return ended.stream().anyMatch(end -> end.get(0).asLong() > acknowledged);
    }

    private synchronized ObjectNode createListing(JsonNode body) {
        endDueRuns();
        long acknowledged = body.path("ackPosition").asLong();
        ended.removeIf(end -> end.get(0).asLong() <= acknowledged);
        ObjectNode listing = createResponse();
        ArrayNode running = listing.putArray("active");
        active.values().forEach(run -> running.addArray()
                .add(run.task())
                .add(run.attempt())
                .add("")
                .add(100)
                .add(0));
        ArrayNode ends = listing.putArray("ended");
        ended.stream().limit(ENDS_PER_PAGE).forEach(ends::add);
        return listing;
    }
}
