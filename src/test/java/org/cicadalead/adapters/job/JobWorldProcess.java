package org.cicadalead.adapters.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.job.TaskPhase;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.ports.TaskPlatform;

/**
 * One process of the world: a replica that lags, and a runner. While it is paused, what it asks of log and platform has
 * been decided but takes effect only when it resumes.
 */
final class JobWorldProcess implements TaskPlatform {
    final SharedStateReplica replica = new SharedStateReplica();
    final JobRunner runner;
    private final JobWorld world;
    private final ProcessIdentifier identifier;
    private final Map<CommandIdentifier, CompletableFuture<CommandOutcome>> pending = new TreeMap<>();
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean paused;
    private int commandsWritten;

    JobWorldProcess(JobWorld world, String name) {
        this.world = world;
        this.identifier = new ProcessIdentifier(name);
        this.runner = new JobRunner(
                identifier, replica::state, this, this::submit, (kind, cause, details) -> {}, world.timers);
        replica.addListener(runner);
        replica.addListener(
                (before, after, envelope, outcome) -> envelope.map(record -> pending.remove(record.identifier()))
                        .ifPresent(waiting -> waiting.complete(outcome)));
    }

    void read(int records) {
        for (int count = 0; count < records; count++) {
            int next = (int) replica.state().offset();
            if (next >= world.log.size()) {
                return;
            }
            replica.apply(next + 1, Optional.of(world.log.get(next)));
        }
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!held.isEmpty()) {
            try {
                held.poll().run();
            } catch (CicadaleadException lost) {
                // The runner learns of it as of a lost reply: by reading the state again.
            }
        }
    }

    CompletableFuture<CommandOutcome> submit(Command command) {
        commandsWritten++;
        CommandIdentifier name = new CommandIdentifier(identifier + "-" + commandsWritten);
        CompletableFuture<CommandOutcome> outcome = new CompletableFuture<>();
        pending.put(name, outcome);
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                name,
                identifier,
                replica.state().offset(),
                mutate(command));
        whenResumed(() -> append(envelope, outcome));
        return outcome;
    }

    private void append(CommandEnvelope envelope, CompletableFuture<CommandOutcome> outcome) {
        if (world.logDown) {
            outcome.completeExceptionally(new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "down"));
            return;
        }
        world.append(envelope);
        if (world.logLosesReplies) {
            world.append(envelope);
            outcome.completeExceptionally(new CicadaleadException(ErrorKind.LOG_OUTCOME_UNKNOWN, "lost"));
        }
    }

    private Command mutate(Command command) {
        if (!(command instanceof JobCommand.Report report)) {
            return command;
        }
        List<JobReport> reports = new ArrayList<>();
        for (JobReport entry : report.reports()) {
            boolean finished = entry.kind() == JobReportKind.FINISHED;
            if (finished && world.faults == JobWorldFaults.FINISH_TAKEN_FOR_STOP) {
                reports.add(new JobReport(entry.job(), entry.epoch(), JobReportKind.STOPPED, Optional.empty()));
            } else if (!finished || world.faults != JobWorldFaults.FINISH_NOT_REPORTED) {
                reports.add(entry);
            }
        }
        return new JobCommand.Report(reports);
    }

    @Override
    public void start(TaskStart start) {
        whenResumed(() -> world.tasks.start(start));
    }

    @Override
    public void stop(TaskReference task, boolean withCheckpoint) {
        whenResumed(() -> world.tasks.stop(task, withCheckpoint));
    }

    @Override
    public void checkpoint(TaskReference task) {
        whenResumed(() -> world.tasks.checkpoint(task));
    }

    @Override
    public void throttle(TaskReference task, boolean throttled) {
        whenResumed(() -> world.tasks.throttle(task, throttled));
    }

    @Override
    public void forget(TaskReference task) {
        whenResumed(() -> world.tasks.forget(task));
    }

    @Override
    public TaskChanges listChanges(long afterRevision, int maximumTasks) {
        TaskChanges changes = world.tasks.listChanges(afterRevision, maximumTasks);
        if (world.faults != JobWorldFaults.UNREACHABLE_TAKEN_FOR_STOPPED) {
            return changes;
        }
        List<TaskStatus> wrong = changes.tasks().stream()
                .map(status -> status.phase() == TaskPhase.UNREACHABLE
                        ? status.withPhase(TaskPhase.STOPPED, Optional.empty())
                        : status)
                .toList();
        return new TaskChanges(changes.revision(), changes.complete(), wrong);
    }

    private void whenResumed(Runnable effect) {
        if (paused) {
            held.add(effect);
        } else {
            effect.run();
        }
    }
}
