package org.cicadalead.adapters.quickstart;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.cicadalead.adapters.standin.UpstreamStandIn;

/** Records the outcomes that callers received, for comparison with what the workers ran. Thread-safe. */
final class CallerLedger {
    private final Map<String, CallerOutcome> outcomes = new ConcurrentHashMap<>();
    private final Map<String, Boolean> idempotent = new ConcurrentHashMap<>();
    private final LongAdder sent = new LongAdder();

    void recordSent(String request, boolean requestIsIdempotent) {
        sent.increment();
        idempotent.put(request, requestIsIdempotent);
    }

    void recordOutcome(String request, CallerOutcome outcome) {
        outcomes.put(request, outcome);
    }

    long sent() {
        return sent.sum();
    }

    long count(CallerOutcome outcome) {
        return outcomes.values().stream().filter(outcome::equals).count();
    }

    /** Counts requests that received no response or have no recorded outcome. */
    long countLost() {
        return sent() - outcomes.size() + count(CallerOutcome.LOST);
    }

    /** Counts non-idempotent requests that ran more than once, summed over all workers. */
    long countRunTwice(Iterable<UpstreamStandIn> workers) {
        Map<String, Integer> runsByRequest = sumRunsByRequest(workers);
        return runsByRequest.entrySet().stream()
                .filter(entry -> entry.getValue() > 1 && !idempotent.getOrDefault(entry.getKey(), false))
                .count();
    }

    /** Counts requests that were refused as not run although a worker ran them. */
    long countRefusedButRun(Iterable<UpstreamStandIn> workers) {
        Map<String, Integer> runsByRequest = sumRunsByRequest(workers);
        return outcomes.entrySet().stream()
                .filter(entry -> entry.getValue() == CallerOutcome.REFUSED && runsByRequest.containsKey(entry.getKey()))
                .count();
    }

    private static Map<String, Integer> sumRunsByRequest(Iterable<UpstreamStandIn> workers) {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (UpstreamStandIn worker : workers) {
            for (Map.Entry<String, AtomicInteger> entry : worker.runCounts().entrySet()) {
                runs.merge(entry.getKey(), entry.getValue().get(), Integer::sum);
            }
        }
        return runs;
    }
}
