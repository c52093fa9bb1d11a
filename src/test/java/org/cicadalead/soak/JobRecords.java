package org.cicadalead.soak;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** What callers know of the jobs that they have submitted. Safe for use by several threads. */
final class JobRecords {
    private static final int RECENT_JOBS = 500;

    private final Map<String, Set<Fact>> jobs = new HashMap<>();
    private final List<String> accepted = new ArrayList<>();

    /** What a caller has learnt of a job. */
    enum Fact {
        /** A submission was answered with success. */
        ACCEPTED,
        /** A submission got an answer, or none, that leaves its outcome open. */
        UNCERTAIN,
        /** A submission was rejected. */
        REJECTED,
        /** A cancellation was sent. */
        CANCELLED
    }

    synchronized void add(String job, Fact fact) {
        boolean isNew =
                jobs.computeIfAbsent(job, key -> EnumSet.noneOf(Fact.class)).add(fact);
        if (isNew && fact == Fact.ACCEPTED) {
            accepted.add(job);
        }
    }

    /** Returns a job that was accepted lately; an empty text when none was. */
    synchronized String pickRecent(Random random) {
        int candidates = Math.min(RECENT_JOBS, accepted.size());
        return candidates == 0 ? "" : accepted.get(accepted.size() - 1 - random.nextInt(candidates));
    }

    /** Returns the jobs that have to be completed. */
    synchronized List<String> owed() {
        return accepted.stream()
                .filter(job -> !jobs.get(job).contains(Fact.CANCELLED))
                .toList();
    }

    /** Returns the jobs of which every submission was rejected. */
    synchronized List<String> rejected() {
        return jobs.entrySet().stream()
                .filter(job -> job.getValue().equals(EnumSet.of(Fact.REJECTED)))
                .map(Map.Entry::getKey)
                .toList();
    }
}
