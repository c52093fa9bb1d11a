package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.logic.job.HostBackoff;
import org.cicadalead.logic.job.JobPlan;
import org.cicadalead.logic.job.JobPlanner;
import org.cicadalead.logic.job.JobPlanningInput;
import org.cicadalead.logic.job.ReconciliationPlan;
import org.cicadalead.logic.job.TaskReconciler;
import org.cicadalead.logic.job.UsageHistory;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.TaskAction;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.model.job.TaskTable;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.TaskPlatform;
import org.cicadalead.ports.TimerService;

/**
 * Drives the long jobs from one process: reads the platform's tasks, plans, appends the decisions to the log, and
 * requests from the platform the actions that follow from the log. Any number of runners may be active at once: the
 * order of the log resolves conflicts between their commands, and the epochs fence their calls. Iterations must be run
 * by one thread; the listener may be called by another.
 */
public final class JobRunner implements SharedStateReplica.FoldListener {
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_TASKS_PER_READ = 1_000;
    private static final int IDLE_ITERATIONS_BETWEEN_READS = 20;

    private final ProcessIdentifier self;
    private final Supplier<SharedState> state;
    private final TaskPlatform platform;
    private final CommandSink commands;
    private final EventSink events;
    private final TimerService timers;
    private final RunnerActivation activation;
    private final ActionRateLimiter rateLimiter = new ActionRateLimiter();
    private final AtomicLong lastActivityOfOthers = new AtomicLong(Long.MIN_VALUE / 2);
    private final List<CompletableFuture<CommandOutcome>> pendingCommands = new ArrayList<>();
    private final Set<TaskReference> recordedTasks = new HashSet<>();
    private Set<HostName> excludedHosts = Set.of();
    private TaskTable tasks = TaskTable.empty();
    private UsageHistory usage = UsageHistory.empty();
    private HostBackoff backoff = HostBackoff.empty();
    private long revision;
    private long idleIterations;
    private long lastAppendAt;
    private boolean platformReachable = true;
    private boolean platformFailed;

    /** Creates a runner, which must be added to the replica as a listener. */
    public JobRunner(
            ProcessIdentifier self,
            Supplier<SharedState> state,
            TaskPlatform platform,
            CommandSink commands,
            EventSink events,
            TimerService timers) {
        this.self = self;
        this.state = state;
        this.platform = platform;
        this.commands = commands;
        this.events = events;
        this.timers = timers;
        this.activation = new RunnerActivation(self);
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isPresent()
                && !envelope.get().writer().equals(self)
                && isRunnerCommand(envelope.get())
                && outcome instanceof CommandOutcome.Accepted) {
            lastActivityOfOthers.set(timers.nanoTime());
        }
    }

    /**
     * Returns whether this process currently drives the jobs, and should therefore run an iteration after every change.
     */
    public boolean isActive() {
        return activation.rank(state.get()) == 0 || activation.isActive(lastActivityOfOthers.get(), timers.nanoTime());
    }

    /** Runs one iteration. The state is read before the tasks, as the reconciler requires. */
    public void runOnce() {
        SharedState current = state.get();
        if (canSkipIteration(current) || !readTasks()) {
            return;
        }
        recordUsage(current);
        long now = timers.nanoTime();
        backoff = backoff.observe(current.jobs(), now);
        ReconciliationPlan reconciliation = TaskReconciler.reconcile(current, tasks);
        JobPlan plan = JobPlanner.plan(new JobPlanningInput(current, tasks, usage, backoff, now));
        reportExcludedHosts(plan);
        boolean hasWork = !isEmpty(reconciliation) || !isEmpty(plan);
        if (activation.tryActivate(current, hasWork, lastActivityOfOthers.get(), now)) {
            append(reconciliation, plan, now);
            platformFailed = false;
            reconciliation.actions().forEach(action -> requestAction(current, action, now));
            plan.actions().forEach(action -> requestAction(current, action, now));
        }
    }

    private boolean canSkipIteration(SharedState current) {
        boolean hasNothingToDo =
                current.jobs().unfinished().isEmpty() && tasks.tasks().isEmpty();
        return current.configuration().version() == 0
                || (hasNothingToDo && idleIterations++ % IDLE_ITERATIONS_BETWEEN_READS != 0);
    }

    private boolean readTasks() {
        try {
            boolean complete = false;
            while (!complete) {
                TaskPlatform.TaskChanges changes = platform.listChanges(revision, MAX_TASKS_PER_READ);
                if (changes.revision() < revision) {
                    tasks = TaskTable.empty();
                    revision = 0;
                    continue;
                }
                tasks = tasks.with(changes.tasks());
                revision = changes.revision();
                complete = changes.complete();
            }
            updatePlatformReachable(true);
            return true;
        } catch (CicadaleadException failure) {
            updatePlatformReachable(false);
            return false;
        }
    }

    private void recordUsage(SharedState current) {
        for (TaskStatus status : tasks.all()) {
            if (status.phase().isEnded() && status.usage().processors() > 0 && recordedTasks.add(status.task())) {
                current.jobs()
                        .find(status.task().job())
                        .ifPresent(job -> usage = usage.withSample(job.submission(), status.usage()));
            }
        }
        recordedTasks.removeIf(task -> tasks.find(task).isEmpty());
    }

    /**
     * Appends the decisions, unless commands of an earlier iteration are still pending: the state may not reflect these
     * yet.
     */
    private void append(ReconciliationPlan reconciliation, JobPlan plan, long now) {
        pendingCommands.removeIf(CompletableFuture::isDone);
        if (now - lastAppendAt > OUTCOME_TIMEOUT.toNanos()) {
            pendingCommands.clear();
        }
        if (!pendingCommands.isEmpty()) {
            return;
        }
        lastAppendAt = now;
        List<JobCommand.Stop> stops = new ArrayList<>(reconciliation.stops());
        stops.addAll(plan.stops());
        appendInBatches(stops, JobCommand.RequestStop::new);
        appendInBatches(reconciliation.reports(), JobCommand.Report::new);
        appendInBatches(plan.placements(), JobCommand.Place::new);
    }

    private <T> void appendInBatches(List<T> entries, Function<List<T>, JobCommand> toCommand) {
        for (int fromIndex = 0; fromIndex < entries.size(); fromIndex += JobCommand.MAX_ENTRIES) {
            int toIndex = Math.min(entries.size(), fromIndex + JobCommand.MAX_ENTRIES);
            pendingCommands.add(commands.submit(toCommand.apply(entries.subList(fromIndex, toIndex))));
        }
    }

    private void requestAction(SharedState current, TaskAction action, long now) {
        if (platformFailed || !rateLimiter.tryAcquire(action, now)) {
            return;
        }
        try {
            perform(current, action);
        } catch (CicadaleadException failure) {
            rateLimiter.release(action);
            platformFailed = true;
        }
    }

    private void perform(SharedState current, TaskAction action) {
        switch (action.kind()) {
            case START -> start(current, action.task());
            case STOP -> stop(current, action.task(), false);
            case STOP_WITH_CHECKPOINT -> stop(current, action.task(), true);
            case THROTTLE -> platform.throttle(action.task(), true);
            case UNTHROTTLE -> platform.throttle(action.task(), false);
            default -> {
                platform.removeTask(action.task());
                tasks = tasks.without(action.task());
            }
        }
    }

    private void start(SharedState current, TaskReference task) {
        JobState job = current.jobs().unfinished().get(task.job());
        if (job != null && job.host().isPresent()) {
            platform.start(new TaskPlatform.TaskStart(
                    task, job.host().get(), job.submission(), job.checkpoint().orElse("")));
        }
    }

    private void stop(SharedState current, TaskReference task, boolean withCheckpoint) {
        boolean isOrphaned = current.jobs()
                .find(task.job())
                .filter(job -> job.epoch() == task.epoch() && job.phase().isOnHost())
                .isEmpty();
        if (isOrphaned) {
            events.emit(
                    EventKind.ORPHAN_TASK_STOPPED,
                    Optional.of(task.job().value()),
                    EventDetail.of("epoch", task.epoch()));
        }
        platform.stop(task, withCheckpoint);
    }

    private void reportExcludedHosts(JobPlan plan) {
        Set<HostName> now = Set.copyOf(plan.excludedHosts());
        now.stream()
                .filter(host -> !excludedHosts.contains(host))
                .forEach(host -> events.emit(EventKind.JOB_HOST_BARRED, Optional.of(host.value())));
        excludedHosts.stream()
                .filter(host -> !now.contains(host))
                .forEach(host -> events.emit(EventKind.JOB_HOST_RETURNED, Optional.of(host.value())));
        excludedHosts = now;
    }

    private void updatePlatformReachable(boolean now) {
        if (platformReachable != now) {
            platformReachable = now;
            events.emit(now ? EventKind.TASK_PLATFORM_RETURNED : EventKind.TASK_PLATFORM_UNAVAILABLE, Optional.empty());
        }
    }

    private static boolean isRunnerCommand(CommandEnvelope envelope) {
        return envelope.command() instanceof JobCommand.Place
                || envelope.command() instanceof JobCommand.Report
                || envelope.command() instanceof JobCommand.RequestStop;
    }

    private static boolean isEmpty(ReconciliationPlan plan) {
        return plan.reports().isEmpty()
                && plan.stops().isEmpty()
                && plan.actions().isEmpty();
    }

    private static boolean isEmpty(JobPlan plan) {
        return plan.placements().isEmpty()
                && plan.stops().isEmpty()
                && plan.actions().isEmpty();
    }
}
