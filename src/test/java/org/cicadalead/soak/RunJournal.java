package org.cicadalead.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cicadalead.platform.LoopbackWorker;

/** All runs of all hosts. Safe for use by several threads. */
final class RunJournal implements LoopbackWorker.RunListener {
    private static final char JOB_SEPARATOR = '.';

    private final List<Run> runs = new ArrayList<>();

    private record Run(String host, String task, long attempt, long startedAt, long endedAt) {}

    @Override
    public synchronized void onEnded(String host, String task, long attempt, long startedAt, long endedAt) {
        runs.add(new Run(host, task, attempt, startedAt, endedAt));
    }

    synchronized int runCount() {
        return runs.size();
    }

    /** Returns the jobs of which a task has run. */
    synchronized Set<String> startedJobs() {
        return runs.stream()
                .map(run -> run.task().substring(0, run.task().indexOf(JOB_SEPARATOR)))
                .collect(Collectors.toSet());
    }

    /** Describes each pair of consecutive runs of a task that overlap in time. */
    synchronized List<String> findOverlaps() {
        Map<String, Run> latestEnds = new HashMap<>();
        List<String> overlaps = new ArrayList<>();
        runs.stream().sorted(Comparator.comparingLong(Run::startedAt)).forEach(run -> {
            Run earlier = latestEnds.get(run.task());
            if (earlier != null && earlier.endedAt() - run.startedAt() > 0) {
                overlaps.add("runs twice: " + run.task() + ", attempt " + earlier.attempt() + " on " + earlier.host()
                        + " and attempt " + run.attempt() + " on " + run.host() + ", overlap "
                        + TimeUnit.NANOSECONDS.toMillis(earlier.endedAt() - run.startedAt()) + " ms");
            }
            if (earlier == null || run.endedAt() - earlier.endedAt() > 0) {
                latestEnds.put(run.task(), run);
            }
        });
        return overlaps;
    }
}
