package org.cicadalead.logic.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.work.HostLoss;
import org.cicadalead.model.work.HostLoss.Outcome;
import org.cicadalead.model.work.WorkPhase;

/**
 * Counts the hosts that crash under tasks, and gives tasks up that crash their hosts. A host that is only silent, cut
 * off, leaving by order or by its own announcement, or lost together with its rack is no evidence against the tasks on
 * it. Answers the load of tasks that crash every host that starts them, beside which others work. Not thread-safe.
 */
final class CrashLedger {
    /** Two hosts of a rack that were last heard within this time of each other are counted as lost together. */
    private static final long RACK_LOSS_MILLISECONDS = 1_000;

    /** Time for which the end of a host is kept, to compare others of its rack with it. */
    private static final long END_RETENTION_MILLISECONDS = 15_000;

    /** Time after which a run of a lasting task shows that the task does not crash its hosts. */
    private static final long STABLE_MILLISECONDS = 5_000;

    /**
     * Time since the last reply of a host within which an order without a reply may have crashed it; a host that was
     * silent for longer may have crashed before it.
     */
    private static final long LIVELY_MILLISECONDS = 150;

    private final WorkState state;
    private final Deque<EndedHost> endedHosts = new ArrayDeque<>();
    /** Tasks that have losses with an unknown outcome, by identifier of the host. */
    private final Map<String, Set<WorkTask>> openLosses = new HashMap<>();

    CrashLedger(WorkState state) {
        this.state = state;
    }

    /** Restores the losses that an earlier term stored. */
    void restore(WorkTask task) {
        for (HostLoss loss : task.crashes.losses()) {
            if (loss.outcome().isOpen()) {
                addOpen(loss.host(), task);
            }
        }
        giveUpIfNeeded(task);
    }

    private void addOpen(String host, WorkTask task) {
        openLosses.computeIfAbsent(host, key -> new HashSet<>()).add(task);
    }

    /**
     * Records that a run is about to start that may crash its host.
     *
     * @return the number of the change of the job's progress that has to be stored first
     */
    long openIsolatedStart(WorkTask task, WorkHost host) {
        open(task, host, state.nextAttempt(task), true, Outcome.PLANNED);
        return task.step.job.changes;
    }

    private void open(WorkTask task, WorkHost host, long attempt, boolean isolated, Outcome outcome) {
        if (task.crashes.add(createLoss(host, attempt, true, isolated, outcome))) {
            addOpen(host.identifier, task);
            state.markChanged(task.step.job);
        }
    }

    private static HostLoss createLoss(
            WorkHost host, long attempt, boolean starting, boolean isolated, Outcome outcome) {
        return new HostLoss(
                attempt, host.identifier, host.address(), host.processStartMilliseconds, starting, isolated, outcome);
    }

    /** Withdraws an isolated start that was not ordered, if there is one on a host. */
    void withdrawPlannedStart(WorkHost host) {
        IsolatedStart planned = host.isolatedStart;
        if (planned != null && planned.run == null) {
            removeOpen(planned.task, host.identifier);
            planned.task.isolatedStart = null;
            host.isolatedStart = null;
        }
    }

    /** Records that a host with starting runs does not reply, or that its leases have expired. */
    void onSilence(WorkHost host) {
        Set<WorkRun> suspects = findStartSuspects(host);
        for (WorkRun run : suspects) {
            open(run.task, host, run.key.attempt(), suspects.size() == 1, Outcome.UNKNOWN);
        }
    }

    /** Records that a run has ended on a host that lives, or that the host rejected it. */
    void onRunEnded(WorkTask task, WorkHost host) {
        removeOpen(task, host.identifier);
    }

    /** Records that a run has failed on a host that lives, so that its start has not crashed the host. */
    void onRunFailed(WorkTask task) {
        if (!task.crashes.isEmpty()) {
            task.crashes.onStartOutlived();
            state.markChanged(task.step.job);
        }
    }

    /** Records that a host lists a run as active. */
    void onListedActive(WorkRun run, long now) {
        WorkTask task = run.task;
        if (task.crashes.isEmpty() || run.isStarting()) {
            return;
        }
        boolean hasOwnHost = run.host.isolatedStart != null && run.host.isolatedStart.needsOwnHost;
        boolean isStable = task.step.specification.longRunning() && now - run.changedAt >= STABLE_MILLISECONDS;
        if (isStable) {
            removeOpen(task, run.host.identifier);
            task.crashes.clear();
            state.markChanged(task.step.job);
        } else if (!hasOwnHost && task.crashes.onStartOutlived()) {
            state.markChanged(task.step.job);
        }
    }

    /** Records a reply of a host, after its incarnation was updated. */
    void onReply(WorkHost host) {
        for (WorkTask task : findOpen(host.identifier)) {
            boolean isOtherProcess = task.crashes.losses().stream()
                    .anyMatch(loss ->
                            loss.isOpenOn(host.identifier) && loss.bornMilliseconds() != host.processStartMilliseconds);
            if (isOtherProcess) {
                resolve(task, host.identifier, false);
            } else if (!isOn(task, host)) {
                removeOpen(task, host.identifier);
            }
        }
    }

    private static boolean isOn(WorkTask task, WorkHost host) {
        boolean hasRun = task.run != null && task.run.host == host;
        boolean hasPlannedStart = host.isolatedStart != null && host.isolatedStart.task == task;
        return hasRun || hasPlannedStart;
    }

    private Set<WorkTask> findOpen(String host) {
        return Set.copyOf(openLosses.getOrDefault(host, Set.of()));
    }

    private void removeOpen(WorkTask task, String host) {
        if (task.crashes.removeOpen(host)) {
            state.markChanged(task.step.job);
        }
        removeFromIndex(task, host);
    }

    private void removeFromIndex(WorkTask task, String host) {
        openLosses.computeIfPresent(host, (key, tasks) -> {
            tasks.remove(task);
            return tasks.isEmpty() ? null : tasks;
        });
    }

    /**
     * Records that the process of a host has ended for certain. Called before its runs are dropped.
     *
     * @param wasPlanned whether an order to its machine, or its own announcement, explains the end
     */
    void onProcessEnded(WorkHost host, boolean wasPlanned) {
        Set<WorkRun> suspects = findStartSuspects(host);
        boolean wasLostWithRack = wasLostWithRack(host);
        withdrawPlannedStart(host);
        for (WorkRun run : List.copyOf(host.runs.values())) {
            removeOpen(run.task, host.identifier);
            if (!wasPlanned) {
                addLoss(run, suspects, wasLostWithRack);
            }
        }
        for (WorkTask task : findOpen(host.identifier)) {
            resolve(task, host.identifier, wasPlanned || wasLostWithRack);
        }
        endedHosts.add(new EndedHost(
                host.identifier,
                host.entry.rack().orElse(""),
                host.lastHeardAt,
                suspects.size() == 1,
                state.decidedAt));
    }

    private void addLoss(WorkRun run, Set<WorkRun> startSuspects, boolean wasLostWithRack) {
        boolean isExplained = wasLostWithRack && !run.task.crashes.isLikelyCause();
        boolean isCause = !isExplained && (!run.isStarting() || startSuspects.contains(run));
        int possibleCauses = run.isStarting() ? startSuspects.size() : run.host.runs.size();
        HostLoss loss = createLoss(
                run.host,
                run.key.attempt(),
                run.isStarting(),
                isCause && possibleCauses == 1 && run.wasConfirmed(),
                isCause ? Outcome.CRASHED : Outcome.EXPLAINED);
        boolean isRelevant = isCause || run.isStarting();
        if (isRelevant && run.task.crashes.add(loss)) {
            state.markChanged(run.task.step.job);
            giveUpIfNeeded(run.task);
        }
    }

    /** Resolves losses of other hosts at an address at which a host has replied that it has now for certain. */
    void onAddressConfirmed(WorkHost current, String address) {
        for (String host : Set.copyOf(openLosses.keySet())) {
            if (host.equals(current.identifier)) {
                continue;
            }
            for (WorkTask task : findOpen(host)) {
                boolean isReplaced = task.crashes.losses().stream()
                        .anyMatch(loss -> loss.isOpenOn(host) && loss.address().equals(address));
                if (isReplaced) {
                    resolve(task, host, false);
                }
            }
        }
    }

    private void resolve(WorkTask task, String host, boolean isExplained) {
        task.crashes.resolveOpen(host, isExplained);
        removeFromIndex(task, host);
        state.markChanged(task.step.job);
        giveUpIfNeeded(task);
    }

    private void giveUpIfNeeded(WorkTask task) {
        WorkJob job = task.step.job;
        if (!task.done && !job.phase.isTerminal() && task.crashes.mustGiveUp()) {
            job.phase = WorkPhase.FAILED;
            state.markChanged(job);
            state.reportGivenUpTask(new GivenUpTask(task.key, task.crashes.losses()));
        }
    }

    /**
     * Returns the runs whose start can have crashed a host: those that it confirmed and did not outlive, or else an
     * isolated one that was ordered just after it was last heard. Others may have been ordered after the crash.
     */
    private static Set<WorkRun> findStartSuspects(WorkHost host) {
        Set<WorkRun> confirmed = new HashSet<>();
        Set<WorkRun> unconfirmed = new HashSet<>();
        for (WorkRun run : host.runs.values()) {
            if (run.isStarting() && run.wasConfirmed()) {
                confirmed.add(run);
            } else if (run.isStarting()
                    && host.isolatedStart != null
                    && host.isolatedStart.run == run
                    && run.orderedAt - host.lastHeardAt <= LIVELY_MILLISECONDS) {
                unconfirmed.add(run);
            }
        }
        return confirmed.isEmpty() ? unconfirmed : confirmed;
    }

    /**
     * Returns whether the rack of a host was lost with it: another host of the rack was last heard at about the same
     * time, and none that lived then has been heard since. A host on which a single start may be the cause does not
     * count as the other one.
     */
    private boolean wasLostWithRack(WorkHost host) {
        endedHosts.removeIf(ended -> state.decidedAt - ended.recordedAt() > END_RETENTION_MILLISECONDS);
        String rack = host.entry.rack().orElse("");
        if (rack.isEmpty()) {
            return false;
        }
        boolean hasLostOther = endedHosts.stream()
                .anyMatch(ended -> !ended.hasSingleSuspect()
                        && ended.rack().equals(rack)
                        && !ended.identifier().equals(host.identifier)
                        && Math.abs(ended.lastHeardAt() - host.lastHeardAt) <= RACK_LOSS_MILLISECONDS);
        for (WorkHost other : state.hosts.values()) {
            boolean livedThen = other.repliedThisTerm && other.heardSince <= host.lastHeardAt;
            if (other == host || !livedThen || !other.entry.rack().orElse("").equals(rack)) {
                continue;
            }
            if (other.lastHeardAt - host.lastHeardAt > RACK_LOSS_MILLISECONDS) {
                return false;
            }
            hasLostOther |= host.lastHeardAt - other.lastHeardAt <= RACK_LOSS_MILLISECONDS
                    && findStartSuspects(other).size() != 1;
        }
        return hasLostOther;
    }

    private record EndedHost(
            String identifier, String rack, long lastHeardAt, boolean hasSingleSuspect, long recordedAt) {}
}
