package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;

/**
 * Decides what runs where during one term of the scheduling process. Events go in, {@link #decide} gives the orders. A
 * task has at most one run; an end is acknowledged to its host only after it is in the store; a job is shown as ended
 * only after that is in the store. For use by one thread.
 */
public final class WorkScheduler {
    /** Time after which an order to stop is sent again; beyond the timeout of an order. */
    private static final long STOP_RETRY_MILLISECONDS = 900;

    /** Wait of a look where something runs: renews leases well before they expire. */
    private static final long BUSY_POLL_WAIT_MILLISECONDS = 1_000;

    /** Wait of a look where nothing runs: the longest that a host accepts, less its way. */
    private static final long IDLE_POLL_WAIT_MILLISECONDS = 1_500;

    /** How long an ended job is remembered; the platform asks for two minutes. */
    private static final long RETENTION_MILLISECONDS = 300_000;

    private final WorkState state;
    private final RunLedger ledger;
    private final TaskPlacement placement;
    private final ProgressBatches batches;
    private final TakeoverGate gate;
    private final Set<String> lastRemovedJobs = new HashSet<>();
    private final Set<String> cancelledBeforeSubmission = new HashSet<>();
    private boolean superseded;
    private long generation;

    /**
     * Starts a term.
     *
     * @param terms the platform's bounds
     * @param epoch number of the term
     * @param earlier hosts that an earlier term may still use
     * @param now start of the term on the monotonic clock
     */
    public WorkScheduler(SchedulingTerms terms, long epoch, EarlierHosts earlier, long now) {
        this.state = new WorkState(terms, epoch);
        this.ledger = new RunLedger(state);
        this.gate = new TakeoverGate(earlier, now, now + terms.earlierStartWindowMilliseconds());
        this.placement = new TaskPlacement(state, ledger, gate);
        this.batches = new ProgressBatches(state);
    }

    /** Takes a job from the store; a job that is known already stays as it is. */
    public void addJob(WorkSubmission submission, WorkTime now) {
        if (state.jobs.containsKey(submission.job()) || lastRemovedJobs.contains(submission.job())) {
            return;
        }
        WorkJob job = new WorkJob(submission, now.monotonic());
        if (gate.mayHaveStarted(submission.job())) {
            job.announcedIn = 0;
        }
        job.openDueOccurrences(now.wall());
        state.jobs.put(submission.job(), job);
        if (!job.longRunning && WorkOrdering.canMeetObjective(job, now.wall())) {
            state.arrivals.add(submission.service(), job.remainingWork(), now.monotonic());
        }
        if (cancelledBeforeSubmission.remove(submission.job())) {
            cancelJob(submission.job(), now);
        }
    }

    /** Takes over what an earlier term kept of a job. */
    public void restoreProgress(WorkProgress progress, WorkTime now) {
        WorkJob job = state.jobs.get(progress.job());
        if (job != null) {
            job.restore(progress);
            job.endedAt = now.monotonic();
        }
    }

    /** Takes a cancellation from the store; it may be read before its job, from another topic. */
    public void cancelJob(String identifier, WorkTime now) {
        WorkJob job = state.jobs.get(identifier);
        if (job == null) {
            cancelledBeforeSubmission.add(identifier);
        } else if (!job.phase.isTerminal()) {
            job.phase = WorkPhase.CANCELED;
            job.durablePhase = WorkPhase.CANCELED;
            job.endedAt = now.monotonic();
        }
    }

    /** Takes the whole registry of hosts. */
    public void updateHosts(List<HostEntry> entries, WorkTime now) {
        Map<String, String> ownerOfAddress = new HashMap<>();
        Set<String> present = new HashSet<>();
        for (HostEntry entry : entries) {
            WorkHost host = state.findOrCreateHost(entry);
            host.incarnationUnknown |= !host.registered;
            host.entry = entry;
            host.registered = true;
            present.add(entry.identifier());
            ownerOfAddress.merge(
                    entry.address(),
                    entry.identifier(),
                    (one, other) -> state.hosts.get(one).entry.bornMilliseconds()
                                    >= state.hosts.get(other).entry.bornMilliseconds()
                            ? one
                            : other);
        }
        for (WorkHost host : List.copyOf(state.hosts.values())) {
            host.registered = present.contains(host.identifier);
            String owner = ownerOfAddress.getOrDefault(host.entry.address(), host.identifier);
            if (!owner.equals(host.identifier)) {
                onHostEnded(host.identifier);
            }
            if (!host.registered && host.runs.isEmpty() && now.monotonic() >= host.leaseExpiresAt()) {
                state.hosts.remove(host.identifier);
            }
        }
    }

    /** A host's process is known to have ended, with all that it ran. */
    public void onHostEnded(String identifier) {
        gate.resolve(identifier);
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.dropAll(host);
            host.registered = false;
        }
    }

    /**
     * Returns the next look at a host; empty once it is not needed any more.
     *
     * @param mayRenew whether this process may still renew leases, by its last confirmed heartbeat
     */
    public Optional<HostPollRequest> createPoll(String identifier, WorkTime now, boolean mayRenew) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null || (!host.registered && host.runs.isEmpty())) {
            return Optional.empty();
        }
        boolean busy = !host.runs.isEmpty();
        boolean renews = mayRenew && busy && host.canReceiveLease(now.monotonic());
        OptionalLong deadline = renews
                ? OptionalLong.of(host.extendLease(now.monotonic(), state.terms.leaseMilliseconds()))
                : OptionalLong.empty();
        // A host that has started anew numbers its ends anew: what its last life ended must not acknowledge them.
        long acknowledged = host.incarnationUnknown ? 0 : host.acknowledgedEndNumber;
        long wait = !host.answeredThisTerm ? 0 : busy ? BUSY_POLL_WAIT_MILLISECONDS : IDLE_POLL_WAIT_MILLISECONDS;
        return Optional.of(new HostPollRequest(WorkState.targetOf(host), deadline, acknowledged, wait));
    }

    /** Takes what a host answered to a look that was sent at the given monotonic time. */
    public void onHostListing(String identifier, HostListing listing, long sentAt, WorkTime now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null) {
            return;
        }
        gate.resolve(identifier);
        ledger.applyListing(host, listing, sentAt, now.monotonic());
    }

    /** A look got no answer, so the host may have started anew. */
    public void onPollFailed(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.incarnationUnknown = true;
        }
    }

    /** Another process answers at the host's address, so the host's own has ended. */
    public void onHostReplaced(String identifier) {
        onHostEnded(identifier);
    }

    /** A host answered that it knows a later term. */
    public void onFenced() {
        superseded = true;
    }

    /** Takes the answer to an order to start. */
    public void onStartReply(String identifier, RunKey run, StartOutcome outcome, WorkTime now) {
        if (outcome == StartOutcome.FENCED) {
            onFenced();
        }
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.onStartReply(host, run, outcome, now.monotonic());
        }
    }

    /** Takes the confirmation of an order to stop. */
    public void onStopConfirmed(String identifier, RunKey run, WorkTime now) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.onStopConfirmed(host, run, now.monotonic());
        }
    }

    /**
     * Takes the answer of the outside policy.
     *
     * @param allowed tickets by host; empty where no answer came
     * @param askedAt when it was asked on the monotonic clock
     */
    public void onAdvisorReply(
            WorkOrder.AskAdvisor question, Optional<Map<String, String>> allowed, long askedAt, WorkTime now) {
        state.pendingAdvisorRequests--;
        WorkJob job = state.jobs.get(question.job());
        WorkStep step = job == null ? null : job.findStep(question.occurrence(), question.step());
        if (step != null && step.tickets != null) {
            step.tickets.onAdvisorReply(question.hosts(), allowed, askedAt, now.monotonic());
        }
    }

    /** Takes whether a batch of progress is in the store. */
    public void onBatchResult(long batch, boolean stored) {
        batches.onBatchResult(batch, stored);
    }

    /** Returns how far a job is as callers may be told; empty for an unknown job. */
    public Optional<WorkPhase> phaseOf(String identifier) {
        WorkJob job = state.jobs.get(identifier);
        if (job == null) {
            return Optional.empty();
        }
        boolean kept = job.phase == job.durablePhase || !job.phase.isTerminal();
        return Optional.of(kept ? job.phase : WorkPhase.RUNNING);
    }

    /** Counts the jobs of a queue of which nothing has started. */
    public int countWaitingJobs(String queue) {
        int count = 0;
        for (WorkJob job : state.jobs.values()) {
            count += job.phase == WorkPhase.QUEUED && job.submission.queue().equals(queue) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the hosts that may run something for this term or an earlier one. A host that is said not to answer is
     * used again only after a later statement is {@linkplain #onAnnouncementStored known} to be in the store: a
     * successor takes its lease for one that is not renewed.
     */
    public HostsInUse announceHostsInUse(WorkTime now) {
        generation++;
        Map<String, HostClaim> used = new HashMap<>();
        gate.unresolved().forEach((identifier, waiting) -> {
            if (now.monotonic() < waiting.leaseExpiresAt()) {
                Optional.ofNullable(state.hosts.get(identifier))
                        .ifPresent(host -> host.announcedUnreachableIn = generation);
                used.put(
                        identifier,
                        new HostClaim(waiting.service(), false, waiting.leaseExpiresAt() - now.monotonic()));
            }
        });
        for (WorkHost host : state.hosts.values()) {
            long remaining = host.leaseExpiresAt() - now.monotonic();
            boolean answering = !host.isUnreachable(now.monotonic());
            if (!host.runs.isEmpty() || remaining > 0) {
                host.announcedUnreachableIn = answering ? host.announcedUnreachableIn : generation;
                used.put(host.identifier, new HostClaim(host.entry.service(), answering, Math.max(0, remaining)));
            }
        }
        return new HostsInUse(generation, used, Optional.of(announceStartedJobs()));
    }

    private Set<String> announceStartedJobs() {
        Set<String> started = new HashSet<>();
        for (WorkJob job : state.jobs.values()) {
            boolean ended = job.phase.isTerminal() && job.phase == job.durablePhase;
            if (job.announcedIn != WorkJob.NOT_ANNOUNCED && !ended) {
                job.announcedIn = Math.min(job.announcedIn, generation);
                started.add(job.identifier());
            }
        }
        return started;
    }

    /** Tells whether jobs wait for a statement that names them as started. */
    public boolean hasPendingStartIntents() {
        for (WorkJob job : state.jobs.values()) {
            if (job.announcedIn == WorkJob.ANNOUNCEMENT_PENDING) {
                return true;
            }
        }
        return false;
    }

    /** Takes that a statement on the hosts in use is in the store. */
    public void onAnnouncementStored(long storedGeneration) {
        state.storedGeneration = Math.max(state.storedGeneration, storedGeneration);
        for (WorkHost host : state.hosts.values()) {
            if (storedGeneration > host.announcedUnreachableIn) {
                host.announcedUnreachableIn = WorkHost.NOT_ANNOUNCED_UNREACHABLE;
            }
        }
    }

    /** Returns identifiers of all hosts that are to be looked at. */
    public Set<String> findHostsToPoll() {
        Set<String> hosts = new HashSet<>();
        for (WorkHost host : state.hosts.values()) {
            if (host.registered || !host.runs.isEmpty()) {
                hosts.add(host.identifier);
            }
        }
        return hosts;
    }

    /** Returns hosts of an earlier term that keep services closed. */
    public Set<String> findBlockingHosts(WorkTime now) {
        return gate.findBlockingHosts(now.monotonic());
    }

    /** Returns demand and room of every pool. */
    public PoolView createPoolView(FleetPlan plan, WorkTime now) {
        return new PoolView(state, plan, now);
    }

    /** Returns what maintenance needs to know and may order here. */
    public MachineView createMachineView() {
        return new MachineView(state, ledger);
    }

    /**
     * Decides what to do now.
     *
     * @param mayStart whether this process may still start work, by its last confirmed heartbeat
     */
    public List<WorkOrder> decide(WorkTime now, boolean mayStart) {
        List<WorkOrder> orders = new ArrayList<>();
        if (superseded) {
            orders.add(new WorkOrder.StepDown());
            return orders;
        }
        expireLeases(now.monotonic());
        openDueOccurrences(now);
        stopUnwantedRuns(orders, now.monotonic());
        if (mayStart) {
            placement.place(orders, now);
            for (WorkHost host : state.hosts.values()) {
                orders.addAll(SpareCapacityPacing.pace(host, now.monotonic()));
            }
        }
        batches.createNextBatch(now.monotonic()).ifPresent(orders::add);
        removeOldJobs(orders, now.monotonic());
        return orders;
    }

    private void expireLeases(long now) {
        for (WorkHost host : state.hosts.values()) {
            if (host.isUnreachable(now) && !host.runs.isEmpty() && now >= host.leaseExpiresAt()) {
                ledger.dropAll(host);
            }
        }
    }

    private void openDueOccurrences(WorkTime now) {
        for (WorkJob job : state.jobs.values()) {
            if (job.submission.isScheduled() && !job.phase.isTerminal()) {
                job.openDueOccurrences(now.wall());
            }
        }
    }

    private void stopUnwantedRuns(List<WorkOrder> orders, long now) {
        for (WorkHost host : state.hosts.values()) {
            for (WorkRun run : List.copyOf(host.runs.values())) {
                if (shouldStop(run, now) && run.state == WorkRun.State.RUNNING) {
                    run.transitionTo(WorkRun.State.STOPPING, now);
                }
                if (run.state == WorkRun.State.STOPPING && now - run.stopSentAt >= STOP_RETRY_MILLISECONDS) {
                    run.stopSentAt = now;
                    orders.add(new WorkOrder.Stop(WorkState.targetOf(host), run.key));
                }
            }
            for (RunKey stray : host.orphanedRuns) {
                orders.add(new WorkOrder.Stop(WorkState.targetOf(host), stray));
            }
            host.orphanedRuns.clear();
        }
    }

    private boolean shouldStop(WorkRun run, long now) {
        if (run.task.step.job.phase.isTerminal() || run.task.done) {
            return true;
        }
        if (run.host.entry.draining() && run.task.step.specification.longRunning()) {
            return true;
        }
        if (SlowRuns.isOverdue(run, state.terms, now)) {
            run.task.slowRestarts++;
            run.task.avoidedHosts.add(run.host.identifier);
            run.host.countFailure(now);
            return true;
        }
        return false;
    }

    private void removeOldJobs(List<WorkOrder> orders, long now) {
        List<String> old = new ArrayList<>();
        for (WorkJob job : state.jobs.values()) {
            if (!job.phase.isTerminal()) {
                continue;
            }
            if (job.endedAt == 0) {
                job.endedAt = now;
            }
            if (job.phase == job.durablePhase && now - job.endedAt > RETENTION_MILLISECONDS) {
                old.add(job.identifier());
            }
        }
        if (!old.isEmpty()) {
            old.forEach(state.jobs::remove);
            lastRemovedJobs.clear();
            lastRemovedJobs.addAll(old);
            orders.add(new WorkOrder.RemoveJobs(old));
        }
    }
}
