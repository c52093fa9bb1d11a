package org.cicadalead.bench.jobs;

import java.util.SortedMap;

/**
 * The results of one run of the bench. Immutable.
 *
 * @param jobs number of jobs that were submitted at once
 * @param seed seed of the job sizes, run times and faults
 * @param records records that the jobs caused in the log, submissions and cancellations included
 * @param recordsPerJob these records per job
 * @param bytesPerJob bytes of these records per job
 * @param rounds planning cycles until all jobs had ended
 * @param roundMedianMilliseconds median wall time of a cycle: read tasks, reconcile, plan, append
 * @param roundLongestMilliseconds wall time of the longest cycle
 * @param foldMicrosecondsPerEntry mean wall time of folding one entry of a record
 * @param snapshotBytes size of the encoded shared state when all jobs were accepted
 * @param urgentStartLongestSeconds longest virtual time from acceptance to the start of an urgent job
 * @param lastEndSeconds virtual time until the last job had ended
 * @param ends number of jobs by their final phase, and of unfinished jobs
 * @param violations non-idempotent jobs that ran twice at the same time or again after their end
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
