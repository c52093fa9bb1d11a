package org.cicadalead.bench.jobs;

import java.util.SortedMap;

/**
 * Figures of one run. Immutable.
 *
 * @param jobs jobs submitted at once
 * @param seed seed of sizes, run times and faults
 * @param records records that the jobs cost in the log, submissions and cancellations included
 * @param recordsPerJob the same for each job
 * @param bytesPerJob bytes of those records for each job
 * @param rounds planning rounds until all had ended
 * @param roundMedianMilliseconds wall time of a round: read tasks, reconcile, plan, append
 * @param roundLongestMilliseconds the same for the longest round
 * @param foldMicrosecondsPerEntry wall time of folding one entry of a record
 * @param snapshotBytes size of the encoded shared state when all jobs were accepted
 * @param urgentStartLongestSeconds longest virtual time from acceptance to the start of an urgent job
 * @param lastEndSeconds virtual time until the last job had ended
 * @param ends jobs by their final phase
 * @param violations non-idempotent jobs that ran twice at once or after their end
 */
public record JobBenchResult(
        int jobs,
        long seed,
        long records,
        double recordsPerJob,
        double bytesPerJob,
        long rounds,
        double roundMedianMilliseconds,
        double roundLongestMilliseconds,
        double foldMicrosecondsPerEntry,
        long snapshotBytes,
        double urgentStartLongestSeconds,
        double lastEndSeconds,
        SortedMap<String, Long> ends,
        long violations) {}
