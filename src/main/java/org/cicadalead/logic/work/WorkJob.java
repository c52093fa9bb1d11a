package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadalead.logic.work.account.AccountDemand;
import org.cicadalead.logic.work.account.AccountUsage;
import org.cicadalead.logic.work.waiting.DurationModel;
import org.cicadalead.model.work.HostLoss;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.jspecify.annotations.Nullable;

/** A job with all its occurrences that are due. Not thread-safe. */
final class WorkJob {
    static final long NOT_ANNOUNCED = Long.MAX_VALUE;
    /** A host with enough capacity was found for a task, so the next announcement names this job as started. */
    static final long ANNOUNCEMENT_PENDING = Long.MAX_VALUE - 1;

    /** Occurrence, step and index of a task in progress records. */
    private static final Pattern TASK_NAME = Pattern.compile("([0-9]{1,9})\\.([0-9]{1,9})\\.([0-9]{1,9})");

    /** The record by which it runs: the first one that its leader has read, and that its successors choose again. */
    final WorkSubmission submission;

    /** The services that its records name. */
    private Set<String> services;

    /** Whether a further record of the job cannot be read, so that its service is unknown. */
    boolean hasUnreadableRecord;

    /** Expected durations of the tasks of its queue. */
    final DurationModel durations;

    /** Memory in bytes that it takes at most. */
    private final long weight;

    final boolean longRunning;
    private final Map<Integer, List<WorkStep>> occurrences = new TreeMap<>();
    private List<WorkStep> openSteps = new ArrayList<>();
    private int finishedOccurrences;
    WorkPhase phase = WorkPhase.QUEUED;
    WorkPhase durablePhase = WorkPhase.QUEUED;
    final long receivedAt;
    /** What the runs of its account take, or those of all public queues. */
    AccountUsage usage = AccountUsage.createPublic();

    /** Whether it is among the jobs that its account is entitled to submit. */
    boolean isEntitled = true;

    /**
     * Generation of the first announcement that names this job as started; {@link #NOT_ANNOUNCED} before a host is
     * found for its first task.
     */
    long announcedIn = NOT_ANNOUNCED;

    /** Number of the newest change of the progress that has to be stored before something else may happen. */
    long changes;

    /** Number of the newest such change that is stored. */
    long storedChanges;

    long endedAt;
    private boolean hasCurrentEstimates;
    private double remainingWork;
    private long remainingCriticalPath;
    private long objectiveMilliseconds;

    /** Creates a job whose tasks can be expected to run as long as estimated. */
    WorkJob(WorkSubmission submission, long now) {
        this(submission, now, new DurationModel());
    }

    WorkJob(WorkSubmission submission, long now, DurationModel durations) {
        this.receivedAt = now;
        this.durations = durations;
        this.submission = submission;
        this.services = Set.of(submission.service());
        this.weight = JobAdmission.weigh(submission);
        this.longRunning = submission.steps().stream().anyMatch(StepSpecification::longRunning);
    }

    String identifier() {
        return submission.job();
    }

    /**
     * Adds a further record of the job, which changes nothing but where an earlier term may have run it; returns
     * whether it differs in more than the time of acceptance.
     */
    boolean addRecord(WorkSubmission further) {
        if (!services.contains(further.service())) {
            Set<String> extended = new HashSet<>(services);
            extended.add(further.service());
            services = Set.copyOf(extended);
        }
        return !further.isSameApartFromAcceptance(submission);
    }

    /** Returns the services that the records of the job name; an earlier term may have run it by any of them. */
    Set<String> services() {
        return services;
    }

    /** Returns whether only its identity and its terms are kept. */
    boolean isSetAside() {
        return submission.steps().isEmpty();
    }

    /** Creates the occurrences that are due; returns whether there are new ones. */
    boolean openDueOccurrences(long wallNow) {
        boolean opened = false;
        for (int number = occurrences.size();
                number < submission.occurrences() && submission.dueMilliseconds(number) <= wallNow;
                number++) {
            openOccurrence(number);
            opened = true;
        }
        return opened;
    }

    private void openOccurrence(int occurrence) {
        List<WorkStep> steps = new ArrayList<>();
        for (int number = 0; number < submission.steps().size(); number++) {
            steps.add(new WorkStep(this, submission.steps().get(number), occurrence, number));
        }
        occurrences.put(occurrence, steps);
        invalidateEstimates();
        refreshOpenSteps();
    }

    /** Returns the unfinished steps whose dependencies are done. */
    List<WorkStep> openSteps() {
        return openSteps;
    }

    /** Recomputes the open steps after a step has finished. */
    void refreshOpenSteps() {
        List<WorkStep> ready = new ArrayList<>();
        int finished = 0;
        for (List<WorkStep> steps : occurrences.values()) {
            boolean allDone = true;
            for (WorkStep step : steps) {
                allDone &= step.isDone();
                if (!step.isDone()
                        && step.specification.dependsOn().stream().allMatch(number -> isDone(steps, number))) {
                    ready.add(step);
                }
            }
            finished += allDone ? 1 : 0;
        }
        openSteps = ready;
        finishedOccurrences = finished;
    }

    private static boolean isDone(List<WorkStep> steps, int number) {
        return number >= 0 && number < steps.size() && steps.get(number).isDone();
    }

    boolean isFinished() {
        return finishedOccurrences == submission.occurrences();
    }

    @Nullable WorkStep findStep(int occurrence, int number) {
        List<WorkStep> steps = occurrences.get(occurrence);
        return steps == null || number < 0 || number >= steps.size() ? null : steps.get(number);
    }

    @Nullable WorkTask findTask(int occurrence, int step, int index) {
        WorkStep workStep = findStep(occurrence, step);
        return workStep == null || index < 0 || index >= workStep.taskCount() ? null : workStep.task(index);
    }

    List<WorkStep> allSteps() {
        List<WorkStep> all = new ArrayList<>();
        occurrences.values().forEach(all::addAll);
        return all;
    }

    /** Returns whether a task of an open step has no run. */
    boolean hasWaitingTask() {
        for (WorkStep step : openSteps) {
            if (step.waitingTasks > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns what its tasks without a run would take, also those whose step is not open yet. */
    AccountDemand waitingDemand() {
        AccountDemand demand = AccountDemand.NONE;
        for (List<WorkStep> steps : occurrences.values()) {
            for (WorkStep step : steps) {
                demand = demand.plus(step.declaredCapacity, step.waitingTasks);
            }
        }
        return demand;
    }

    /** Makes the remaining work and duration be computed again, as a task has finished or an occurrence is due. */
    void invalidateEstimates() {
        hasCurrentEstimates = false;
    }

    private void refreshEstimates() {
        if (!hasCurrentEstimates) {
            remainingWork = computeRemainingWork();
            remainingCriticalPath = computeRemainingCriticalPath();
            objectiveMilliseconds = Math.round(submission.terms().slackFactor() * computeCriticalPath())
                    + submission.terms().targetMilliseconds();
            hasCurrentEstimates = true;
        }
    }

    /**
     * Returns the time from the first submission within which the job is wanted, in milliseconds, by the durations of
     * the tasks that have ended and the expected ones of the others.
     */
    long objectiveMilliseconds() {
        refreshEstimates();
        return objectiveMilliseconds;
    }

    /** Returns the remaining work of the occurrences that are due, in core-milliseconds. */
    double remainingWork() {
        refreshEstimates();
        return remainingWork;
    }

    private double computeRemainingWork() {
        double sum = 0;
        for (List<WorkStep> steps : occurrences.values()) {
            for (WorkStep step : steps) {
                sum += step.remainingWork();
            }
        }
        return sum;
    }

    /**
     * Returns the duration of the longest chain of unfinished steps, less the time for which its open steps have been
     * running, in milliseconds.
     */
    long remainingCriticalPath(long now) {
        refreshEstimates();
        long running = Long.MAX_VALUE;
        for (WorkStep step : openSteps) {
            running = Math.min(running, step.runningMilliseconds(now));
        }
        return openSteps.isEmpty() ? remainingCriticalPath : Math.max(0, remainingCriticalPath - running);
    }

    private long computeRemainingCriticalPath() {
        long longest = 0;
        for (List<WorkStep> steps : occurrences.values()) {
            long[] ends = new long[steps.size()];
            for (int number = 0; number < ends.length; number++) {
                long start = latestEnd(ends, steps.get(number).specification.dependsOn());
                ends[number] = start
                        + (steps.get(number).isDone()
                                ? 0
                                : Math.round(steps.get(number).expectedMilliseconds()));
                longest = Math.max(longest, ends[number]);
            }
        }
        return longest;
    }

    /** Returns the duration of the longest chain of steps of an occurrence, those included that are done. */
    private long computeCriticalPath() {
        long longest = 0;
        for (List<WorkStep> steps : occurrences.values()) {
            long[] ends = new long[steps.size()];
            for (int number = 0; number < ends.length; number++) {
                ends[number] = latestEnd(ends, steps.get(number).specification.dependsOn())
                        + Math.round(steps.get(number).longestTaskMilliseconds());
                longest = Math.max(longest, ends[number]);
            }
        }
        return longest;
    }

    private static long latestEnd(long[] ends, List<Integer> steps) {
        long latest = 0;
        for (int step : steps) {
            latest = Math.max(latest, step >= 0 && step < ends.length ? ends[step] : 0);
        }
        return latest;
    }

    /** Returns the memory in bytes that it may take; only what it has, once it has ended. */
    long weigh() {
        if (!phase.isTerminal()) {
            return weight;
        }
        long sum = JobAdmission.ENDED_JOB_BYTES;
        for (WorkStep step : allSteps()) {
            sum += JobAdmission.ENDED_STEP_BYTES + step.keptTasks().size() * JobAdmission.TASK_BYTES;
        }
        return sum;
    }

    /** Creates the progress record that a successor needs to continue the job. */
    WorkProgress createProgress(long version) {
        Map<String, List<Integer>> done = new HashMap<>();
        Map<String, List<Long>> failedAttempts = new HashMap<>();
        Map<String, Long> attempts = new HashMap<>();
        Map<String, String> checkpoints = new HashMap<>();
        Map<String, List<HostLoss>> hostLosses = new HashMap<>();
        for (WorkStep step : allSteps()) {
            List<Integer> finished = step.doneIndexes();
            for (WorkTask task : step.keptTasks()) {
                if (task.done) {
                    continue;
                }
                String name = step.text() + "." + task.key.index();
                if (!task.failedAttempts.isEmpty()) {
                    failedAttempts.put(name, List.copyOf(task.failedAttempts));
                }
                if (task.highestEndedAttempt > 0) {
                    attempts.put(name, task.highestEndedAttempt);
                }
                if (!task.crashes.isEmpty()) {
                    hostLosses.put(name, task.crashes.losses());
                }
                if (!task.checkpoint.isEmpty()) {
                    checkpoints.put(name, task.checkpoint);
                }
            }
            if (!finished.isEmpty()) {
                done.put(step.text(), finished);
            }
        }
        return new WorkProgress(
                identifier(),
                version,
                phase,
                done,
                failedAttempts,
                attempts,
                checkpoints,
                hostLosses,
                submission.acceptedMilliseconds());
    }

    /** Restores the progress that an earlier term stored. */
    void restore(WorkProgress progress) {
        phase = progress.phase();
        durablePhase = progress.phase();
        for (WorkStep step : allSteps()) {
            for (int index : progress.done().getOrDefault(step.text(), List.of())) {
                if (index >= 0 && index < step.taskCount()) {
                    step.finish(step.task(index));
                }
            }
        }
        progress.failedAttempts()
                .forEach((name, attempts) -> findTask(name).ifPresent(task -> task.failedAttempts.addAll(attempts)));
        progress.hostLosses()
                .forEach((name, losses) -> findTask(name).ifPresent(task -> losses.forEach(task.crashes::add)));
        progress.attempts().forEach((name, attempt) -> findTask(name).ifPresent(task -> {
            task.highestEndedAttempt = attempt;
            task.lastAttempt = attempt;
        }));
        progress.checkpoints()
                .forEach((name, checkpoint) -> findTask(name).ifPresent(task -> task.checkpoint = checkpoint));
        refreshOpenSteps();
    }

    /** Returns a task by its name in progress records. */
    private Optional<WorkTask> findTask(String name) {
        Matcher matcher = TASK_NAME.matcher(name);
        return matcher.matches()
                ? Optional.ofNullable(findTask(
                        Integer.parseInt(matcher.group(1)),
                        Integer.parseInt(matcher.group(2)),
                        Integer.parseInt(matcher.group(3))))
                : Optional.empty();
    }
}
