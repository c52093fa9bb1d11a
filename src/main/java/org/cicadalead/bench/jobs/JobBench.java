package org.cicadalead.bench.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.adapters.job.JobRunner;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.adapters.standin.JobExecutionCounts;
import org.cicadalead.adapters.standin.TaskStandIn;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;

/**
 * Submits jobs at once to a fleet of the target size and runs the job runner of one process in virtual time until all
 * jobs have ended. The tasks use less than their declared size, some hosts fail every task, a rack crashes and many
 * jobs are cancelled. For use by one thread.
 */
public final class JobBench {
    private static final Duration CYCLE_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_CYCLES = 20_000;
    private static final int CANCELLATION_CYCLE = 20;
    private static final int CRASH_CYCLE = 10;
    private static final int FAILING_HOSTS = 10;
    private static final int CRASHED_HOSTS = 4;
    private static final double USED_SHARE = 0.6;
    private static final int MEAN_RUN_MILLISECONDS = 20_000;
    private static final int MAX_RUN_MILLISECONDS = 300_000;
    private static final int MAX_PROCESSORS = 16;
    private static final int JOBS_PER_URGENT_JOB = 10;
    private static final int JOBS_PER_CANCELLED_JOB = 5;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double NANOSECONDS_PER_MICROSECOND = 1e3;
    private static final double MEDIAN_PERCENTILE = 50;

    private final int jobs;
    private final long seed;
    private final Random random;
    private final JobBenchClock clock = new JobBenchClock();
    private final SharedStateReplica replica = new SharedStateReplica();
    private final TaskStandIn tasks = new TaskStandIn(clock::nanoTime);
    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();
    private final ProcessIdentifier self = new ProcessIdentifier("bench");
    private final Histogram cycleDurations = new Histogram(TimeUnit.MINUTES.toNanos(1), 3);
    private final Map<JobIdentifier, Long> urgentStarts = new HashMap<>();
    private final List<JobSubmission> submissions = new ArrayList<>();
    private long offset;
    private long jobRecords;
    private long jobBytes;
    private long jobEntries;
    private long foldNanoseconds;
    private long urgentAcceptedAt;

    private JobBench(int jobs, long seed) {
        this.jobs = jobs;
        this.seed = seed;
        this.random = new Random(seed);
    }

    /** Runs the bench with a number of jobs. */
    public static JobBenchResult run(int jobs, long seed) {
        return new JobBench(jobs, seed).run();
    }

    private JobBenchResult run() {
        tasks.setUsage(CYCLE_INTERVAL.multipliedBy(4), USED_SHARE);
        for (int host = 0; host < FAILING_HOSTS; host++) {
            tasks.setFailing(JobBenchFleet.host(host), true);
        }
        JobRunner runner =
                new JobRunner(self, replica::state, tasks, this::append, (kind, cause, details) -> {}, clock);
        replica.addListener(runner);
        append(JobBenchFleet.createPublication());
        submitAll();
        long snapshotBytes = new SnapshotCodec().encode(replica.state()).length;
        int cycle = 0;
        while (!replica.state().jobs().unfinished().isEmpty() && cycle < MAX_CYCLES) {
            cycle++;
            injectFaults(cycle);
            long startNanoseconds = System.nanoTime();
            runner.runOnce();
            cycleDurations.recordValue(System.nanoTime() - startNanoseconds);
            recordUrgentStarts();
            clock.advance(CYCLE_INTERVAL);
        }
        return createResult(cycle, snapshotBytes);
    }

    private void submitAll() {
        for (int number = 0; number < jobs; number++) {
            submissions.add(createSubmission(number));
        }
        for (int batchStart = 0; batchStart < jobs; batchStart += JobCommand.MAX_ENTRIES) {
            append(new JobCommand.Submit(
                    submissions.subList(batchStart, Math.min(jobs, batchStart + JobCommand.MAX_ENTRIES))));
        }
        urgentAcceptedAt = clock.nanoTime();
    }

    private JobSubmission createSubmission(int number) {
        int processors = 1 + random.nextInt(MAX_PROCESSORS);
        int runMilliseconds =
                (int) Math.min(MAX_RUN_MILLISECONDS, -Math.log(1 - random.nextDouble()) * MEAN_RUN_MILLISECONDS);
        boolean isUrgent = random.nextInt(JOBS_PER_URGENT_JOB) == 0;
        return new JobSubmission(
                new JobIdentifier("job-" + number),
                JobBenchFleet.team(random.nextInt(JobBenchFleet.TEAMS)),
                JobBenchFleet.pool(random.nextInt(JobBenchFleet.POOLS)),
                new JobSize(processors, 2.0 * processors, 0),
                isUrgent ? 0 : JobSubmission.DEFAULT_URGENCY + random.nextInt(JobSubmission.DEFAULT_URGENCY),
                random.nextBoolean(),
                "run-milliseconds=" + runMilliseconds);
    }

    private void injectFaults(int cycle) {
        if (cycle == CRASH_CYCLE) {
            for (int host = 0; host < CRASHED_HOSTS; host++) {
                tasks.crash(JobBenchFleet.host(JobBenchFleet.HOSTS / 2 + host));
            }
        }
        if (cycle == CANCELLATION_CYCLE) {
            List<JobIdentifier> cancelled = new ArrayList<>();
            for (int number = 0; number < jobs; number += JOBS_PER_CANCELLED_JOB) {
                cancelled.add(submissions.get(number).job());
            }
            for (int batchStart = 0; batchStart < cancelled.size(); batchStart += JobCommand.MAX_ENTRIES) {
                int batchEnd = Math.min(cancelled.size(), batchStart + JobCommand.MAX_ENTRIES);
                append(new JobCommand.Cancel(cancelled.subList(batchStart, batchEnd)));
            }
        }
    }

    private CompletableFuture<CommandOutcome> append(Command command) {
        offset++;
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                new CommandIdentifier("command-" + offset),
                self,
                replica.state().offset(),
                command);
        if (command instanceof JobCommand jobCommand) {
            jobRecords++;
            jobBytes += codec.encode(envelope).length;
            jobEntries += countEntries(jobCommand);
        }
        long startNanoseconds = System.nanoTime();
        replica.apply(offset, Optional.of(envelope));
        foldNanoseconds += command instanceof JobCommand ? System.nanoTime() - startNanoseconds : 0;
        return CompletableFuture.completedFuture(new CommandOutcome.Accepted(offset));
    }

    private static int countEntries(JobCommand command) {
        if (command instanceof JobCommand.Submit submit) {
            return submit.submissions().size();
        }
        if (command instanceof JobCommand.Cancel cancel) {
            return cancel.jobs().size();
        }
        if (command instanceof JobCommand.Place place) {
            return place.placements().size();
        }
        if (command instanceof JobCommand.RequestStop requestStop) {
            return requestStop.stops().size();
        }
        return ((JobCommand.Report) command).reports().size();
    }

    private void recordUrgentStarts() {
        for (JobState job : replica.state().jobs().unfinished().values()) {
            if (job.submission().urgency() == 0 && job.phase() == JobPhase.RUNNING) {
                urgentStarts.putIfAbsent(job.submission().job(), clock.nanoTime() - urgentAcceptedAt);
            }
        }
    }

    private JobBenchResult createResult(int cycleCount, long snapshotBytes) {
        SortedMap<String, Long> jobsByFinalPhase = new TreeMap<>();
        replica.state()
                .jobs()
                .ended()
                .values()
                .forEach(job -> jobsByFinalPhase.merge(job.phase().name(), 1L, Long::sum));
        jobsByFinalPhase.put(
                "UNFINISHED", (long) replica.state().jobs().unfinished().size());
        long longestUrgentStart =
                urgentStarts.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return new JobBenchResult(
                jobs,
                seed,
                jobRecords,
                (double) jobRecords / jobs,
                (double) jobBytes / jobs,
                cycleCount,
                cycleDurations.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOSECONDS_PER_MILLISECOND,
                cycleDurations.getMaxValue() / NANOSECONDS_PER_MILLISECOND,
                foldNanoseconds / NANOSECONDS_PER_MICROSECOND / Math.max(1, jobEntries),
                snapshotBytes,
                Duration.ofNanos(longestUrgentStart).toMillis() / 1e3,
                Duration.ofNanos(clock.nanoTime()).toMillis() / 1e3,
                jobsByFinalPhase,
                countViolations());
    }

    private long countViolations() {
        Map<JobIdentifier, JobExecutionCounts> accounts = tasks.executionCounts();
        return submissions.stream()
                .filter(submission -> !submission.idempotent())
                .flatMap(submission -> Optional.ofNullable(accounts.get(submission.job())).stream())
                .filter(account -> account.maximumConcurrent() > 1 || account.startsAfterFinish() > 0)
                .count();
    }
}
