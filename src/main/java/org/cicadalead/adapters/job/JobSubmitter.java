package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.logic.job.JobFold;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.TimerService;

/**
 * Accepts submissions and cancellations of callers, writes those that arrive shortly after each other in one record,
 * and completes each one once the record has been read back. Submissions and cancellations that this process can reject
 * by its own state are not appended. Safe for use by several threads.
 */
public final class JobSubmitter implements SharedStateReplica.FoldListener {
    /** Time for which the first entry of a batch waits for others. */
    public static final Duration BATCH_DELAY = Duration.ofMillis(10);

    private final Supplier<SharedState> state;
    private final BatchQueue<JobSubmission> submissions;
    private final BatchQueue<JobIdentifier> cancellations;

    /** Creates a submitter, which must be added to the replica as a listener. */
    public JobSubmitter(Supplier<SharedState> state, CommandSink commands, TimerService timers) {
        this.state = state;
        this.submissions = new BatchQueue<>(commands, timers, JobCommand.Submit::new);
        this.cancellations = new BatchQueue<>(commands, timers, JobCommand.Cancel::new);
    }

    /**
     * Submits a job. The result completes with the fold's outcome, or exceptionally with kind
     * {@code PLATFORM_UNAVAILABLE} when nothing was appended, or {@code LOG_OUTCOME_UNKNOWN}.
     */
    public CompletableFuture<CommandOutcome> submit(JobSubmission submission) {
        SharedState current = state.get();
        CommandOutcome predicted = predictOutcome(current, new JobCommand.Submit(List.of(submission)));
        boolean isKnown = current.jobs().find(submission.job()).isPresent();
        if (isKnown || predicted instanceof CommandOutcome.Rejected) {
            return CompletableFuture.completedFuture(predicted);
        }
        return submissions.add(submission);
    }

    /** Cancels a job. The result completes in the same way as that of {@link #submit}. */
    public CompletableFuture<CommandOutcome> cancel(JobIdentifier job) {
        SharedState current = state.get();
        CommandOutcome predicted = predictOutcome(current, new JobCommand.Cancel(List.of(job)));
        boolean isResolved =
                current.jobs().find(job).map(JobState::cancelRequested).orElse(true);
        if (isResolved || predicted instanceof CommandOutcome.Rejected) {
            return CompletableFuture.completedFuture(predicted);
        }
        return cancellations.add(job);
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isEmpty() || outcome instanceof CommandOutcome.Duplicate) {
            return;
        }
        if (envelope.get().command() instanceof JobCommand.Submit submit
                && submissions.isWaitingForAny(submit.submissions())) {
            submissions.complete(submit.submissions(), computeOutcomes(before, after, submit));
        } else if (envelope.get().command() instanceof JobCommand.Cancel cancel
                && cancellations.isWaitingForAny(cancel.jobs())) {
            cancellations.complete(cancel.jobs(), computeOutcomes(before, after, cancel));
        }
    }

    private static CommandOutcome predictOutcome(SharedState state, JobCommand command) {
        return JobFold.fold(state, state.offset() + 1, command).outcomes().get(0);
    }

    private static List<CommandOutcome> computeOutcomes(SharedState before, SharedState after, JobCommand command) {
        return new ArrayList<>(JobFold.fold(before, after.offset(), command).outcomes());
    }
}
