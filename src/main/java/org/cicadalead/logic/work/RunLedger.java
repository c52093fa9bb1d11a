package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.WorkPhase;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the runs on every host. A task may get its next run only when its last one has ended for certain: the host
 * listed its end, or does not list the run in a complete reply to a poll that was sent after the start or the stop was
 * confirmed, or all its leases have expired. Not thread-safe.
 */
final class RunLedger {
    /** Pause after a host rejected a run for lack of capacity; about the time between two polls. */
    private static final long NO_CAPACITY_PAUSE_MILLISECONDS = 250;

    /** Pause after a host reported that it is unhealthy. */
    private static final long UNHEALTHY_PAUSE_MILLISECONDS = 1_000;

    /**
     * Time after which a run that was to last counts as a success of its host although it has failed; such runs end in
     * no other way, so that their failures would add up over days. Longer than a broken host takes to fail.
     */
    private static final long LASTING_SUCCESS_MILLISECONDS = 5_000;

    /** Time after which an order to start counts as one without a reply; longer than any time limit of an order. */
    private static final long MAX_ORDER_MILLISECONDS = 2_000;

    private final WorkState state;
    private final CrashLedger crashes;

    RunLedger(WorkState state, CrashLedger crashes) {
        this.state = state;
        this.crashes = crashes;
    }

    /** Applies the reply of a host to a poll that was sent at the given time. */
    void applyListing(WorkHost host, HostListing listing, long sentAt, long now) {
        if (host.hasOtherProcess(listing)) {
            reportLoss(host, LastRun.Evidence.NOT_LISTED, now);
            crashes.onProcessEnded(host, host.isLeavingByPlan());
        }
        boolean restarted = host.applyListing(listing, now);
        crashes.onReply(host);
        Set<RunKey> listed = new HashSet<>();
        for (ActiveRun active : listing.active()) {
            listed.add(active.run());
            applyActiveRun(host, active, now);
        }
        for (EndedRun end : listing.ended()) {
            listed.add(end.run());
            if (end.number() > host.highestEndNumber) {
                host.highestEndNumber = end.number();
                applyEnd(host, end, now);
            }
        }
        for (WorkRun run : List.copyOf(host.runs.values())) {
            run.missing = !listing.hasFurtherEnds() && !listed.contains(run.key);
            if (run.missing) {
                handleMissingRun(run, sentAt, now);
            }
        }
        if (restarted && !host.runs.isEmpty()) {
            // Runs that were ordered before the restart was known have a lease on the new process.
            host.recordLease(state.terms.maximumLeaseMilliseconds());
        }
        host.orphanedRuns.retainAll(listed);
        host.setOrphanedCapacity(sumOrphanedCapacity(host, listing));
        host.setOrphansOfAccounts(findOrphansOfAccounts(host, listing), state.terms);
    }

    /** Returns the steps of the active runs of accounts that this term does not keep, one entry for each run. */
    private List<WorkStep> findOrphansOfAccounts(WorkHost host, HostListing listing) {
        List<WorkStep> orphans = new ArrayList<>();
        for (ActiveRun active : listing.active()) {
            WorkTask task = host.runs.containsKey(active.run())
                    ? null
                    : state.findTask(active.run().task());
            if (task != null && !task.step.job.usage.isPublic()) {
                orphans.add(task.step);
            }
        }
        return orphans;
    }

    /** Sums the capacity of the active runs without a known task as a whole host, as it is unknown. */
    private HostCapacity sumOrphanedCapacity(WorkHost host, HostListing listing) {
        HostCapacity sum = HostCapacity.NONE;
        for (ActiveRun active : listing.active()) {
            if (!host.runs.containsKey(active.run())) {
                WorkTask task = state.findTask(active.run().task());
                sum = sum.plus(task == null ? host.entry.capacity() : task.step.requiredCapacity);
            }
        }
        return sum;
    }

    private void applyActiveRun(WorkHost host, ActiveRun active, long now) {
        WorkRun run = host.runs.get(active.run());
        if (run == null) {
            run = adopt(host, active, now);
        }
        if (run == null) {
            host.orphanedRuns.add(active.run());
            return;
        }
        if (run.state == WorkRun.State.ORDERED || run.state == WorkRun.State.UNCERTAIN) {
            run.transitionTo(WorkRun.State.RUNNING, now);
        }
        crashes.onListedActive(run, now);
        if (!run.isStarting()) {
            host.endIsolation(run);
        }
        run.percentage = active.percentage();
        run.sample = active.sample();
        if (!active.checkpoint().isEmpty()) {
            run.task.checkpoint = active.checkpoint();
        }
    }

    /** Adopts a run that an earlier term started; returns null when the run should not exist. */
    private @Nullable WorkRun adopt(WorkHost host, ActiveRun active, long now) {
        WorkTask task = state.findTask(active.run().task());
        if (task == null || !task.isWaiting() || task.step.job.phase.isTerminal()) {
            return null;
        }
        if (active.run().attempt() <= task.highestEndedAttempt) {
            return null;
        }
        WorkRun run = new WorkRun(active.run(), task, host, now);
        run.transitionTo(WorkRun.State.RUNNING, now);
        attach(run);
        host.recordLease(state.terms.longestAdoptedLeaseMilliseconds());
        return run;
    }

    /** Records that a run was ordered. */
    void attach(WorkRun run) {
        run.task.attach(run);
        run.startsFromBeginning = run.task.checkpoint.isEmpty() && run.state == WorkRun.State.ORDERED;
        run.overdueAfter = SlowRuns.overdueAfter(run, state.terms);
        run.task.lastAttempt = Math.max(run.task.lastAttempt, run.key.attempt());
        run.host.addRun(run);
        WorkJob job = run.task.step.job;
        if (job.phase == WorkPhase.QUEUED) {
            job.phase = WorkPhase.RUNNING;
        }
    }

    private void applyEnd(WorkHost host, EndedRun end, long now) {
        host.orphanedRuns.remove(end.run());
        WorkRun run = host.removeRun(end.run());
        WorkTask task = state.findTask(end.run().task());
        if (run != null) {
            run.task.detach(run);
            crashes.onRunEnded(run.task, host);
        }
        if (task == null || task.done) {
            return;
        }
        task.recordEnd(new LastRun(
                end.run(),
                host.identifier,
                true,
                LastRun.Evidence.LISTED_END,
                end.ending().name(),
                now));
        WorkJob job = task.step.job;
        task.lastAttempt = Math.max(task.lastAttempt, end.run().attempt());
        task.highestEndedAttempt = Math.max(task.highestEndedAttempt, end.run().attempt());
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
        }
        state.unsavedJobs.add(job);
        if (end.ending() == RunEnding.DONE) {
            host.countSuccess();
            finishTask(task);
            if (run != null) {
                measure(run, now);
            }
        } else if (end.ending() == RunEnding.FAILED
                && task.failedAttempts.add(end.run().attempt())) {
            crashes.onRunFailed(task);
            if (run != null
                    && task.step.specification.longRunning()
                    && now - run.orderedAt >= LASTING_SUCCESS_MILLISECONDS) {
                host.countSuccess();
            }
            countFailure(host, task, now);
        }
    }

    /** Learns from the duration of a run that has done its task. */
    private void measure(WorkRun run, long now) {
        WorkStep step = run.task.step;
        if (!run.startsFromBeginning || step.specification.longRunning() || step.specification.gang()) {
            return;
        }
        step.addMeasured(Math.max(1, Math.round((now - run.orderedAt) / SlowRuns.slowdown(run, state.terms))));
        for (WorkTask other : step.keptTasks()) {
            if (other.run != null) {
                other.run.overdueAfter = SlowRuns.overdueAfter(other.run, state.terms);
            }
        }
    }

    private void finishTask(WorkTask task) {
        WorkJob job = task.step.job;
        task.step.finish(task);
        if (task.step.isDone()) {
            job.refreshOpenSteps();
        }
        if (job.isFinished() && !job.phase.isTerminal()) {
            job.phase = WorkPhase.COMPLETED;
        }
    }

    private static void countFailure(WorkHost host, WorkTask task, long now) {
        host.countFailure(now);
        task.avoidedHosts.add(host.identifier);
        WorkJob job = task.step.job;
        boolean exhausted = task.failedAttempts.size() >= job.submission.terms().maximumAttempts();
        if (exhausted && !task.step.specification.longRunning() && !job.phase.isTerminal()) {
            job.phase = WorkPhase.FAILED;
        }
    }

    /**
     * Handles a run that the host does not list. It has ended, unless an order is in flight or the poll was sent before
     * the state of the run last changed. That holds for a restarted host too, as its new process may have started the
     * run after it made the listing.
     */
    private void handleMissingRun(WorkRun run, long sentAt, long now) {
        boolean pollIsNewer = sentAt > run.changedAt;
        switch (run.state) {
            case RUNNING -> {
                if (pollIsNewer) {
                    dropUnlisted(run, now);
                }
            }
            case STOPPED -> {
                if (pollIsNewer) {
                    dropUnlisted(run, now);
                }
            }
            case UNCERTAIN -> {
                if (pollIsNewer) {
                    run.stop(StopCause.START_UNCERTAIN, now);
                }
            }
            case ORDERED -> {
                if (pollIsNewer && now - run.changedAt >= MAX_ORDER_MILLISECONDS) {
                    run.stop(StopCause.START_UNCERTAIN, now);
                }
            }
            default -> {
                // An order to stop is in flight.
            }
        }
    }

    private void dropUnlisted(WorkRun run, long now) {
        crashes.onRunEnded(run.task, run.host);
        reportLoss(run, LastRun.Evidence.NOT_LISTED, 1, run.isStarting() ? 1 : 0, now);
        drop(run, LastRun.Evidence.NOT_LISTED, "", now);
    }

    /** Applies the reply to an order to start a run. */
    void onStartReply(WorkHost host, RunKey key, StartOutcome outcome, long now) {
        WorkRun run = host.runs.get(key);
        if (run == null) {
            return;
        }
        if (outcome == StartOutcome.STARTED || outcome == StartOutcome.NO_ROOM) {
            host.onReply(now);
        }
        switch (outcome) {
            case STARTED -> {
                if (run.state == WorkRun.State.ORDERED) {
                    run.transitionTo(WorkRun.State.RUNNING, now);
                }
            }
            case UNKNOWN -> {
                if (run.state == WorkRun.State.ORDERED) {
                    run.transitionTo(WorkRun.State.UNCERTAIN, now);
                }
            }
            default -> {
                handleRejectedStart(host, run, outcome, now);
            }
        }
    }

    private void handleRejectedStart(WorkHost host, WorkRun run, StartOutcome outcome, long now) {
        crashes.onRunEnded(run.task, host);
        drop(run, LastRun.Evidence.START_REJECTED, outcome.name(), now);
        switch (outcome) {
            case NO_TICKET -> {
                StepTickets tickets = run.task.step.tickets;
                if (tickets != null) {
                    tickets.onTicketRejected(host.identifier);
                }
            }
            case NO_ROOM -> host.excludeUntil(now + NO_CAPACITY_PAUSE_MILLISECONDS);
            case UNHEALTHY, OTHER_HOST, INVALID -> {
                host.countFailure(now);
                host.excludeUntil(now + UNHEALTHY_PAUSE_MILLISECONDS);
                run.task.avoidedHosts.add(host.identifier);
            }
            default -> {
                // The run arrived too late or has ended there; the next attempt may use any host.
            }
        }
    }

    /** Applies the confirmation of an order to stop a run. */
    void onStopConfirmed(WorkHost host, RunKey key, long now) {
        WorkRun run = host.runs.get(key);
        if (run != null && run.state == WorkRun.State.STOPPING) {
            run.transitionTo(WorkRun.State.STOPPED, now);
        }
        host.orphanedRuns.remove(key);
    }

    /** Drops all runs of a host on which nothing can run any more. */
    void dropAll(WorkHost host, LastRun.Evidence evidence, long now) {
        reportLoss(host, evidence, now);
        new ArrayList<>(host.runs.values()).forEach(run -> drop(run, evidence, "", now));
        host.orphanedRuns.clear();
    }

    /** Reports the runs of a host that are lost with it, or with its former process. */
    private void reportLoss(WorkHost host, LastRun.Evidence evidence, long now) {
        int startsLost =
                (int) host.runs.values().stream().filter(WorkRun::isStarting).count();
        for (WorkRun run : host.runs.values()) {
            reportLoss(run, evidence, host.runs.size(), startsLost, now);
        }
    }

    private void reportLoss(WorkRun run, LastRun.Evidence evidence, int runsLost, int startsLost, long now) {
        state.reportLostRun(new LostRun(
                run.key,
                run.host.identifier,
                evidence.name(),
                run.wasConfirmed(),
                run.isStarting(),
                now - run.orderedAt,
                now - run.host.leaseExpiresAt(),
                now - run.host.clockReadAt,
                runsLost,
                startsLost));
    }

    private static void drop(WorkRun run, LastRun.Evidence evidence, String detail, long now) {
        if (evidence == LastRun.Evidence.HOST_ENDED || run.orderedAt < run.host.heardSince) {
            // A later term may have ended the process, and have stored the run's end before. A record that is stored
            // from now on shows that there was none.
            run.task.step.job.announcedIn = WorkJob.ANNOUNCEMENT_PENDING;
        }
        run.host.removeRun(run.key);
        run.task.detach(run);
        run.task.recordEnd(LastRun.ofDropped(run, evidence, detail, now));
    }
}
