package org.cicadalead.adapters.quickstart;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.cicadalead.adapters.standin.UpstreamStandIn;

/** What callers were told, to be compared with what workers ran. Safe for use by several threads. */
final class CallerLedger {
    private final Map<String, CallerOutcome> outcomes = new ConcurrentHashMap<>();
    private final Map<String, Boolean> idempotent = new ConcurrentHashMap<>();
    private final LongAdder sent = new LongAdder();

    void noteSent(String request, boolean requestIsIdempotent) {
        sent.increment();
        idempotent.put(request, requestIsIdempotent);
    }

    void noteOutcome(String request, CallerOutcome outcome) {
        outcomes.put(request, outcome);
    }

    long sent() {
        return sent.sum();
    }

    long count(CallerOutcome outcome) {
        return outcomes.values().stream().filter(outcome::equals).count();
    }

    /** Counts requests that got no outcome at all. */
    long lost() {
        return sent() - outcomes.size() + count(CallerOutcome.LOST);
    }

    /** Counts non-idempotent requests that ran more than once over all workers. */
    long runTwice(Iterable<UpstreamStandIn> workers) {
        Map<String, Integer> runs = totalRuns(workers);
        return runs.entrySet().stream()
                .filter(entry -> entry.getValue() > 1 && !idempotent.getOrDefault(entry.getKey(), false))
                .count();
    }

    /** Counts requests that were refused as not run, and ran. */
    long refusedButRun(Iterable<UpstreamStandIn> workers) {
        Map<String, Integer> runs = totalRuns(workers);
        return outcomes.entrySet().stream()
                .filter(entry -> entry.getValue() == CallerOutcome.REFUSED && runs.containsKey(entry.getKey()))
                .count();
    }

    private static Map<String, Integer> totalRuns(Iterable<UpstreamStandIn> workers) {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (UpstreamStandIn worker : workers) {
            for (Map.Entry<String, AtomicInteger> entry : worker.runCounts().entrySet()) {
                runs.merge(entry.getKey(), entry.getValue().get(), Integer::sum);
            }
        }
        return runs;
    }
}
