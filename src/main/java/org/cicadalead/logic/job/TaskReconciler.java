package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.StopReason;
import org.cicadalead.model.job.TaskAction;
import org.cicadalead.model.job.TaskActionKind;
import org.cicadalead.model.job.TaskPhase;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.model.job.TaskTable;
import org.cicadalead.model.state.SharedState;

/**
 * Compares the shared state with the platform's tasks and derives the steps that remove the differences. The tasks must
 * be read after the state: a task that is missing then either was never started or its end is already in the log. A
 * task of an unknown job or of a later epoch shows that this replica's state is stale, and is ignored. Not thread-safe.
 */
public final class TaskReconciler {
    private final SharedState state;
    private final TaskTable tasks;
    private final List<JobReport> reports = new ArrayList<>();
    private final List<JobCommand.Stop> stops = new ArrayList<>();
    private final List<TaskAction> actions = new ArrayList<>();

    private TaskReconciler(SharedState state, TaskTable tasks) {
        this.state = state;
        this.tasks = tasks;
    }

    /** Returns the reports and stops to append and the actions to request from the platform. */
    public static ReconciliationPlan reconcile(SharedState state, TaskTable tasks) {
        TaskReconciler reconciler = new TaskReconciler(state, tasks);
        for (JobState job : state.jobs().unfinished().values()) {
            if (job.phase().isOnHost()) {
                reconciler.reconcilePlacedJob(job);
            }
        }
        for (TaskStatus status : tasks.all()) {
            reconciler.cleanUpTask(status);
        }
        return new ReconciliationPlan(reconciler.reports, reconciler.stops, reconciler.actions);
    }

    private void reconcilePlacedJob(JobState job) {
        TaskReference reference = new TaskReference(job.submission().job(), job.epoch());
        Optional<TaskStatus> status = tasks.find(reference);
        if (status.isEmpty()) {
            handleMissingTask(job, reference);
        } else if (status.get().phase().isEnded()) {
            reportEnd(job, status.get());
        } else {
            handleLiveTask(job, reference, status.get());
        }
    }

    private void handleMissingTask(JobState job, TaskReference reference) {
        switch (job.phase()) {
            case PLACED -> {
                Optional<StopReason> reason = findStopReason(job);
                reason.ifPresentOrElse(
                        stopReason -> requestStop(job, stopReason),
                        () -> requestAction(TaskActionKind.START, reference));
            }
            case STOPPING -> requestAction(TaskActionKind.STOP, reference);
            default -> requestStop(job, StopReason.LEASE_LAPSED);
        }
    }

    private void reportEnd(JobState job, TaskStatus status) {
        switch (status.phase()) {
            case FINISHED -> report(job, JobReportKind.FINISHED, status.detail());
            case FAILED -> report(job, JobReportKind.FAILED, status.detail());
            default -> report(job, JobReportKind.STOPPED, status.checkpoint());
        }
    }

    private void handleLiveTask(JobState job, TaskReference reference, TaskStatus status) {
        if (job.phase() == JobPhase.STOPPING) {
            boolean withCheckpoint = status.phase() == TaskPhase.RUNNING
                    && job.stopReason().map(StopReason::isWithCheckpoint).orElse(false);
            requestAction(withCheckpoint ? TaskActionKind.STOP_WITH_CHECKPOINT : TaskActionKind.STOP, reference);
            return;
        }
        Optional<StopReason> reason = status.phase() == TaskPhase.UNREACHABLE
                ? Optional.of(StopReason.LEASE_LAPSED)
                : findStopReason(job).filter(stopReason -> stopReason != StopReason.LEASE_LAPSED);
        if (reason.isPresent()) {
            requestStop(job, reason.get());
            return;
        }
        if (job.phase() == JobPhase.PLACED) {
            report(job, JobReportKind.STARTED, Optional.empty());
        }
        if (status.checkpoint().isPresent() && !status.checkpoint().equals(job.checkpoint())) {
            report(job, JobReportKind.CHECKPOINTED, status.checkpoint());
        }
        if (status.throttled() != job.throttled()) {
            report(job, status.throttled() ? JobReportKind.THROTTLED : JobReportKind.UNTHROTTLED, Optional.empty());
        }
    }

    /**
     * Returns why the task must leave its host, if it must. A host that is only observed as down may still run the
     * task; in that case the platform's lease decides.
     */
    private Optional<StopReason> findStopReason(JobState job) {
        HostState host = job.host().map(name -> state.hosts().get(name)).orElse(null);
        if (host == null || !host.pool().equals(job.submission().pool())) {
            return Optional.of(StopReason.HOST_LEAVING);
        }
        if (host.isAvailable()) {
            return Optional.empty();
        }
        return Optional.of(host.health() == HostHealth.DOWN ? StopReason.LEASE_LAPSED : StopReason.HOST_LEAVING);
    }

    /** Stops tasks of earlier epochs, and lets the platform remove ended tasks whose end is in the log. */
    private void cleanUpTask(TaskStatus status) {
        Optional<JobState> job = state.jobs().find(status.task().job());
        if (job.isEmpty() || job.get().epoch() < status.task().epoch()) {
            return;
        }
        boolean isCurrent =
                job.get().epoch() == status.task().epoch() && job.get().phase().isOnHost();
        if (isCurrent) {
            return;
        }
        requestAction(status.phase().isEnded() ? TaskActionKind.FORGET : TaskActionKind.STOP, status.task());
    }

    private void report(JobState job, JobReportKind kind, Optional<String> detail) {
        reports.add(new JobReport(job.submission().job(), job.epoch(), kind, detail));
    }

    private void requestStop(JobState job, StopReason reason) {
        stops.add(new JobCommand.Stop(job.submission().job(), job.epoch(), reason));
    }

    private void requestAction(TaskActionKind kind, TaskReference task) {
        actions.add(new TaskAction(kind, task));
    }
}
