package org.cicadalead.adapters.job;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;

/**
 * Emits an event for every change of a job, with the job as the cause. Only the process that wrote the record emits the
 * event, so that the merged timeline contains each change once. Stateless; safe for use by several threads.
 */
public final class JobEvents implements SharedStateReplica.FoldListener {
    private final ProcessIdentifier self;
    private final EventSink events;

    /** Creates a listener that emits events for the records that one process wrote. */
    public JobEvents(ProcessIdentifier self, EventSink events) {
        this.self = self;
        this.events = events;
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isEmpty() || !envelope.get().writer().equals(self)) {
            return;
        }
        if (envelope.get().command() instanceof JobCommand command && !(outcome instanceof CommandOutcome.Duplicate)) {
            jobsOf(command).forEach(job -> emitChange(job, before, after));
        }
    }

    private void emitChange(JobIdentifier job, SharedState before, SharedState after) {
        Optional<JobState> previous = before.jobs().find(job);
        Optional<JobState> current = after.jobs().find(job);
        if (current.isEmpty() || previous.equals(current)) {
            return;
        }
        events.emit(
                kindOf(previous, current.get()),
                Optional.of(job.value()),
                EventDetail.of("phase", current.get().phase()),
                EventDetail.of("epoch", current.get().epoch()),
                EventDetail.of("host", text(current.get().host())),
                EventDetail.of("reason", text(current.get().stopReason())),
                EventDetail.of("outcome", text(current.get().outcome())));
    }

    private static EventKind kindOf(Optional<JobState> previous, JobState current) {
        if (previous.isEmpty()) {
            return EventKind.JOB_ACCEPTED;
        }
        if (previous.get().phase() == current.phase()) {
            return EventKind.JOB_PROGRESSED;
        }
        return kindOf(current.phase());
    }

    private static EventKind kindOf(JobPhase phase) {
        return switch (phase) {
            case WAITING -> EventKind.JOB_RETURNED;
            case PLACED -> EventKind.JOB_PLACED;
            case RUNNING -> EventKind.JOB_STARTED;
            case STOPPING -> EventKind.JOB_STOP_REQUESTED;
            case FINISHED -> EventKind.JOB_FINISHED;
            case FAILED -> EventKind.JOB_FAILED;
            case CANCELLED -> EventKind.JOB_CANCELLED;
        };
    }

    private static List<JobIdentifier> jobsOf(JobCommand command) {
        if (command instanceof JobCommand.Submit submit) {
            return submit.submissions().stream().map(JobSubmission::job).toList();
        }
        if (command instanceof JobCommand.Cancel cancel) {
            return cancel.jobs();
        }
        if (command instanceof JobCommand.Place place) {
            return place.placements().stream().map(JobCommand.Placement::job).toList();
        }
        if (command instanceof JobCommand.RequestStop requestStop) {
            return requestStop.stops().stream().map(JobCommand.Stop::job).toList();
        }
        return ((JobCommand.Report) command)
                .reports().stream().map(JobReport::job).distinct().toList();
    }

    private static String text(Optional<?> value) {
        return value.map(Objects::toString).orElse("-");
    }
}
