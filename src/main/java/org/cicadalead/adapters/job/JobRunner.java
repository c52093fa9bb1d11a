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
import org.cicadalead.logic.job.PlanningInput;
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
 * One process's hand on the long jobs: reads the platform's tasks, plans, appends what was decided, and asks the
 * platform for what the log holds. Any number of runners may work at once: the log's order settles their commands, and
 * the epochs fence their calls. Rounds are run by one thread; the listener may be called by another.
 */
public final class JobRunner implements SharedStateReplica.FoldListener {
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);
    private static final int LISTED_AT_ONCE = 1_000;
    private static final int IDLE_ROUNDS_BETWEEN_LISTS = 20;

    private final ProcessIdentifier self;
    private final Supplier<SharedState> state;
    private final TaskPlatform platform;
    private final CommandSink commands;
    private final EventSink events;
    private final TimerService timers;
    private final RunnerTurn turn;
    private final ActionPacer pacer = new ActionPacer();
    private final AtomicLong lastActOfOthers = new AtomicLong(Long.MIN_VALUE / 2);
    private final List<CompletableFuture<CommandOutcome>> pending = new ArrayList<>();
    private final Set<TaskReference> measured = new HashSet<>();
    private Set<HostName> barred = Set.of();
    private TaskTable tasks = TaskTable.empty();
    private UsageHistory usage = UsageHistory.empty();
    private HostBackoff backoff = HostBackoff.empty();
    private long revision;
    private long idleRounds;
    private long appendedAt;
    private boolean reachable = true;
    private boolean platformFailed;

    /** Creates a runner; it must be added to the replica as a listener. */
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
        this.turn = new RunnerTurn(self);
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isPresent()
                && !envelope.get().writer().equals(self)
                && isRunnerCommand(envelope.get())
                && outcome instanceof CommandOutcome.Accepted) {
            lastActOfOthers.set(timers.nanoTime());
        }
    }

    /** Tells whether this process is the one that acts at present, and should run a round at every change. */
    public boolean isActing() {
        return turn.rank(state.get()) == 0 || turn.isIncumbent(lastActOfOthers.get(), timers.nanoTime());
    }

    /** Runs one round. The state is read before the tasks, as the reconciler demands. */
    public void runOnce() {
        SharedState current = state.get();
        if (isIdle(current) || !readTasks()) {
            return;
        }
        learn(current);
        long now = timers.nanoTime();
        backoff = backoff.observe(current.jobs(), now);
        ReconciliationPlan reconciliation = TaskReconciler.reconcile(current, tasks);
        JobPlan plan = JobPlanner.plan(new PlanningInput(current, tasks, usage, backoff, now));
        noteBarred(plan);
        boolean hasWork = !isEmpty(reconciliation) || !isEmpty(plan);
        if (turn.mayAct(current, hasWork, lastActOfOthers.get(), now)) {
            append(reconciliation, plan, now);
            platformFailed = false;
            reconciliation.actions().forEach(action -> ask(current, action, now));
            plan.actions().forEach(action -> ask(current, action, now));
        }
    }

    private boolean isIdle(SharedState current) {
        boolean nothingToDo =
                current.jobs().unfinished().isEmpty() && tasks.tasks().isEmpty();
        return current.configuration().version() == 0 || (nothingToDo && idleRounds++ % IDLE_ROUNDS_BETWEEN_LISTS != 0);
    }

    private boolean readTasks() {
        try {
            boolean complete = false;
            while (!complete) {
                TaskPlatform.TaskChanges changes = platform.listChanges(revision, LISTED_AT_ONCE);
                if (changes.revision() < revision) {
                    tasks = TaskTable.empty();
                    revision = 0;
                    continue;
                }
                tasks = tasks.with(changes.tasks());
                revision = changes.revision();
                complete = changes.complete();
            }
            noteReachable(true);
            return true;
        } catch (CicadaleadException failure) {
            noteReachable(false);
            return false;
        }
    }

    private void learn(SharedState current) {
        for (TaskStatus status : tasks.all()) {
            if (status.phase().isEnded() && status.usage().processors() > 0 && measured.add(status.task())) {
                current.jobs()
                        .find(status.task().job())
                        .ifPresent(job -> usage = usage.with(job.submission(), status.usage()));
            }
        }
        measured.removeIf(task -> tasks.find(task).isEmpty());
    }

    /** Waits for the outcome of the last round's commands before it decides anew, as the state may not have them. */
    private void append(ReconciliationPlan reconciliation, JobPlan plan, long now) {
        pending.removeIf(CompletableFuture::isDone);
        if (now - appendedAt > OUTCOME_TIMEOUT.toNanos()) {
            pending.clear();
        }
        if (!pending.isEmpty()) {
            return;
        }
        appendedAt = now;
        List<JobCommand.Stop> stops = new ArrayList<>(reconciliation.stops());
        stops.addAll(plan.stops());
        appendChunks(stops, JobCommand.RequestStop::new);
        appendChunks(reconciliation.reports(), JobCommand.Report::new);
        appendChunks(plan.placements(), JobCommand.Place::new);
    }

    private <T> void appendChunks(List<T> entries, Function<List<T>, JobCommand> toCommand) {
        for (int first = 0; first < entries.size(); first += JobCommand.MAXIMUM_ENTRIES) {
            int end = Math.min(entries.size(), first + JobCommand.MAXIMUM_ENTRIES);
            pending.add(commands.submit(toCommand.apply(entries.subList(first, end))));
        }
    }

    private void ask(SharedState current, TaskAction action, long now) {
        if (platformFailed || !pacer.take(action, now)) {
            return;
        }
        try {
            perform(current, action);
        } catch (CicadaleadException failure) {
            pacer.release(action);
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
                platform.forget(action.task());
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
        boolean orphan = current.jobs()
                .find(task.job())
                .filter(job -> job.epoch() == task.epoch() && job.phase().isOnHost())
                .isEmpty();
        if (orphan) {
            events.emit(
                    EventKind.ORPHAN_TASK_STOPPED,
                    Optional.of(task.job().value()),
                    EventDetail.of("epoch", task.epoch()));
        }
        platform.stop(task, withCheckpoint);
    }

    private void noteBarred(JobPlan plan) {
        Set<HostName> now = Set.copyOf(plan.barredHosts());
        now.stream()
                .filter(host -> !barred.contains(host))
                .forEach(host -> events.emit(EventKind.JOB_HOST_BARRED, Optional.of(host.value())));
        barred.stream()
                .filter(host -> !now.contains(host))
                .forEach(host -> events.emit(EventKind.JOB_HOST_RETURNED, Optional.of(host.value())));
        barred = now;
    }

    private void noteReachable(boolean now) {
        if (reachable != now) {
            reachable = now;
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
