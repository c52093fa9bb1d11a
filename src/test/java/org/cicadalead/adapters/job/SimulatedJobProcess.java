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
 * Simulates one process: a replica that lags, and a runner. While the process is paused, its commands and its requests
 * to the platform are deferred and take effect only when it resumes.
 */
final class SimulatedJobProcess implements TaskPlatform {
    final SharedStateReplica replica = new SharedStateReplica();
    final JobRunner runner;
    private final JobSimulation simulation;
    private final ProcessIdentifier identifier;
    private final Map<CommandIdentifier, CompletableFuture<CommandOutcome>> pending = new TreeMap<>();
    private final Deque<Runnable> deferredEffects = new ArrayDeque<>();
    private boolean paused;
    private int commandsWritten;

    SimulatedJobProcess(JobSimulation simulation, String name) {
        this.simulation = simulation;
        this.identifier = new ProcessIdentifier(name);
        this.runner = new JobRunner(
                identifier, replica::state, this, this::submit, (kind, cause, details) -> {}, simulation.timers);
        replica.addListener(runner);
        replica.addListener(
                (before, after, envelope, outcome) -> envelope.map(record -> pending.remove(record.identifier()))
                        .ifPresent(waiting -> waiting.complete(outcome)));
    }

    void read(int records) {
        for (int count = 0; count < records; count++) {
            int nextRecord = (int) replica.state().offset();
            if (nextRecord >= simulation.log.size()) {
                return;
            }
            replica.apply(nextRecord + 1, Optional.of(simulation.log.get(nextRecord)));
        }
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!deferredEffects.isEmpty()) {
            try {
                deferredEffects.poll().run();
            } catch (CicadaleadException ignored) {
                // The runner handles this like a lost reply: it reads the state again.
            }
        }
    }

    CompletableFuture<CommandOutcome> submit(Command command) {
        commandsWritten++;
        CommandIdentifier commandIdentifier = new CommandIdentifier(identifier + "-" + commandsWritten);
        CompletableFuture<CommandOutcome> outcome = new CompletableFuture<>();
        pending.put(commandIdentifier, outcome);
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                commandIdentifier,
                identifier,
                replica.state().offset(),
                mutate(command));
        runWhenResumed(() -> append(envelope, outcome));
        return outcome;
    }

    private void append(CommandEnvelope envelope, CompletableFuture<CommandOutcome> outcome) {
        if (simulation.logDown) {
            outcome.completeExceptionally(new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "down"));
            return;
        }
        simulation.append(envelope);
        if (simulation.logLosesReplies) {
            simulation.append(envelope);
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
            if (finished && simulation.mutation == JobSimulationMutation.FINISH_TAKEN_FOR_STOP) {
                reports.add(new JobReport(entry.job(), entry.epoch(), JobReportKind.STOPPED, Optional.empty()));
            } else if (!finished || simulation.mutation != JobSimulationMutation.FINISH_NOT_REPORTED) {
                reports.add(entry);
            }
        }
        return new JobCommand.Report(reports);
    }

    @Override
    public void start(TaskStart start) {
        runWhenResumed(() -> simulation.tasks.start(start));
    }

    @Override
    public void stop(TaskReference task, boolean withCheckpoint) {
        runWhenResumed(() -> simulation.tasks.stop(task, withCheckpoint));
    }

    @Override
    public void checkpoint(TaskReference task) {
        runWhenResumed(() -> simulation.tasks.checkpoint(task));
    }

    @Override
    public void throttle(TaskReference task, boolean throttled) {
        runWhenResumed(() -> simulation.tasks.throttle(task, throttled));
    }

    @Override
    public void removeTask(TaskReference task) {
        runWhenResumed(() -> simulation.tasks.removeTask(task));
    }

    @Override
    public TaskChanges listChanges(long afterRevision, int maximumTasks) {
        TaskChanges changes = simulation.tasks.listChanges(afterRevision, maximumTasks);
        if (simulation.mutation != JobSimulationMutation.UNREACHABLE_TAKEN_FOR_STOPPED) {
            return changes;
        }
        List<TaskStatus> mutated = changes.tasks().stream()
                .map(status -> status.phase() == TaskPhase.UNREACHABLE
                        ? status.withPhase(TaskPhase.STOPPED, Optional.empty())
                        : status)
                .toList();
        return new TaskChanges(changes.revision(), changes.complete(), mutated);
    }

    private void runWhenResumed(Runnable effect) {
        if (paused) {
            deferredEffects.add(effect);
        } else {
            effect.run();
        }
    }
}
