package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.logic.work.account.AccountOrder;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StepSpecification;
import org.jspecify.annotations.Nullable;

/** Assigns the waiting tasks of each service to its hosts with free capacity. Not thread-safe. */
final class TaskPlacement {
    /**
     * Maximum number of requests to the external policy in flight; it rejects more than 32, and processes them in
     * sequence.
     */
    private static final int MAX_PENDING_ADVISOR_REQUESTS = 16;

    /**
     * Time before a long-running task may start from which room is cleared for it: the stops and the list that shows
     * their ends take about as long.
     */
    private static final long ROOM_LEAD_MILLISECONDS = 1_500;

    private final WorkState state;
    private final RunLedger ledger;
    private final TakeoverGate takeoverGate;
    private final IsolatedStarts isolatedStarts;
    private long evaluatedHosts;
    private long cycles;

    TaskPlacement(WorkState state, RunLedger ledger, TakeoverGate takeoverGate, CrashLedger crashes) {
        this.isolatedStarts = new IsolatedStarts(state, crashes);
        this.state = state;
        this.ledger = ledger;
        this.takeoverGate = takeoverGate;
    }

    /** Starts the waiting tasks for which a host has enough free capacity. */
    void place(List<WorkOrder> orders, WorkTime now) {
        state.accounts.beginCycle();
        isolatedStarts.withdrawImpossible(now.monotonic());
        startIsolated(orders, now.monotonic());
        Map<String, List<WorkJob>> waiting = findWaitingJobs();
        if (!state.accounts.hasAccounts()) {
            waiting.forEach((service, jobs) -> placeService(service, jobs, orders, now));
            return;
        }
        for (String service : AccountTurns.takeTurns(waiting.keySet(), cycles++)) {
            placeService(service, waiting.getOrDefault(service, List.of()), orders, now);
        }
    }

    private void startIsolated(List<WorkOrder> orders, long now) {
        for (WorkHost host : state.hosts.values()) {
            IsolatedStart planned = host.isolatedStart;
            if (planned == null
                    || planned.run != null
                    || !canStart(planned.task.step.job)
                    || !state.fitsAccountLimit(planned.task.step, 1)) {
                continue;
            }
            if (ensureAnnounced(planned.task.step, 1) && isolatedStarts.canOrder(planned, now)) {
                planned.run = startTask(planned.task, host, state.nextAttempt(planned.task), orders, now);
            } else {
                reserveForAccount(planned.task.step);
            }
        }
    }

    private Map<String, List<WorkJob>> findWaitingJobs() {
        Map<String, List<WorkJob>> waiting = new HashMap<>();
        for (WorkJob job : state.liveJobs) {
            if (job.hasWaitingTask()) {
                waiting.computeIfAbsent(job.submission.service(), key -> new ArrayList<>())
                        .add(job);
            }
        }
        return waiting;
    }

    /** Returns whether placing a job can have any effect: a host may have room, or the job needs more than room. */
    private boolean isPlaceable(WorkJob job, HostChoice choice) {
        for (WorkStep step : job.openSteps()) {
            boolean needsMoreThanRoom = step.tickets != null || step.specification.longRunning();
            if (step.waitingTasks > 0
                    && state.fitsAccountLimit(step, WorkState.smallestStart(step))
                    && (needsMoreThanRoom || choice.mayHaveRoom(step.requiredCapacity))) {
                return true;
            }
        }
        return false;
    }

    private void placeService(String service, List<WorkJob> jobs, List<WorkOrder> orders, WorkTime now) {
        HostChoice choice = new HostChoice(state.findHosts(service), now.monotonic());
        if (choice.isEmpty()) {
            return;
        }
        List<WorkJob> placeableJobs = new ArrayList<>();
        for (WorkJob job : jobs) {
            if (isPlaceable(job, choice) && (canStart(job) || canStartSoon(job, now.monotonic()))) {
                placeableJobs.add(job);
            }
        }
        List<WorkJob> sortedJobs = WorkOrdering.sort(placeableJobs, now);
        if (sortedJobs.stream().allMatch(job -> job.usage.isPublic())) {
            sortedJobs.forEach(job -> placeJob(job, choice, orders, now));
        } else {
            AccountOrder<WorkJob> order = AccountTurns.order(state, service, sortedJobs, now);
            for (Optional<WorkJob> next = order.poll(); next.isPresent(); next = order.poll()) {
                placeJob(next.get(), choice, orders, now);
            }
        }
        evaluatedHosts += choice.evaluatedHosts();
    }

    private void placeJob(WorkJob job, HostChoice choice, List<WorkOrder> orders, WorkTime now) {
        for (WorkStep step : job.openSteps()) {
            requestTickets(step, choice, orders, now.monotonic());
            if (!step.specification.gang()) {
                placeTasks(step, choice, orders, now);
            } else if (canStart(job)) {
                placeGang(step, choice, orders, now.monotonic());
            }
        }
    }

    private boolean canStart(WorkJob job) {
        return takeoverGate.canStart(job, state.confirmedAt());
    }

    private boolean canStartSoon(WorkJob job, long now) {
        return job.longRunning && takeoverGate.canStart(job, now + ROOM_LEAD_MILLISECONDS);
    }

    /** Returns how many times a host was compared with the requirements of a task so far. */
    long evaluatedHosts() {
        return evaluatedHosts;
    }

    private void placeTasks(WorkStep step, HostChoice choice, List<WorkOrder> orders, WorkTime now) {
        if (step.waitingTasks == 0) {
            return;
        }
        boolean mayStart = canStart(step.job);
        List<WorkHost> clearedHosts = new ArrayList<>();
        for (int index = step.nextWaiting(0); index < step.taskCount(); index = step.nextWaiting(index + 1)) {
            WorkTask task = step.task(index);
            if (!state.fitsAccountLimit(step, 1)) {
                return;
            }
            if (planIsolated(task, choice, now.monotonic())) {
                continue;
            }
            WorkHost host = choice.findHost(task, filterPermitted(step, filterByRack(step, choice), now.monotonic()));
            if (host == null && step.specification.longRunning()) {
                host = findHostOfAnyRack(task, choice, now.monotonic());
            }
            if (host == null && step.specification.longRunning()) {
                Collection<WorkHost> permitted = filterPermitted(step, choice.hosts(), now.monotonic());
                WorkHost cleared =
                        Preemption.makeRoomFor(task, choice, filterBelowLimit(step, permitted, clearedHosts), now);
                if (cleared != null) {
                    choice.reserve(cleared, step.specification);
                    reserveForAccount(step);
                    clearedHosts.add(cleared);
                    continue;
                }
                host = choice.findLastResort(task, filterPermitted(step, choice.lastResorts(), now.monotonic()));
            }
            if (host == null) {
                return;
            }
            choice.reserve(host, step.specification);
            if (mayStart && ensureAnnounced(step, 1)) {
                startTask(task, host, state.nextAttempt(task), orders, now.monotonic());
            } else {
                reserveForAccount(step);
            }
        }
    }

    /**
     * Plans a start without others beside it for a task that may crash its host; returns whether the task waits for
     * one.
     */
    private boolean planIsolated(WorkTask task, HostChoice choice, long now) {
        boolean wasPlanned = task.isolatedStart != null;
        boolean mustWait = task.crashes.isSuspect()
                && isolatedStarts.plan(task, choice, filterPermitted(task.step, choice.hosts(), now), now);
        if (!wasPlanned && task.isolatedStart != null) {
            reserveForAccount(task.step);
        }
        return mustWait;
    }

    /** Returns the hosts that have not reached a step's limit per host, with the tasks for which they are cleared. */
    private static Collection<WorkHost> filterBelowLimit(
            WorkStep step, Collection<WorkHost> hosts, List<WorkHost> clearedHosts) {
        int limit = step.specification.maximumPerHost();
        return limit == 0
                ? hosts
                : hosts.stream()
                        .filter(host -> step.countTasksOn(host) + Collections.frequency(clearedHosts, host) < limit)
                        .toList();
    }

    /** Finds a host for a long-running task: it is better to run on another rack, and slower, than to wait. */
    private static @Nullable WorkHost findHostOfAnyRack(WorkTask task, HostChoice choice, long now) {
        return task.step.specification.sameRack()
                ? choice.findHost(task, filterPermitted(task.step, choice.hosts(), now))
                : null;
    }

    /**
     * Returns whether a stored announcement tells a successor that tasks of a job may run, and how much of its account,
     * so that they may be started. Otherwise includes them in the next announcement.
     */
    private boolean ensureAnnounced(WorkStep step, int tasks) {
        WorkJob job = step.job;
        if (job.announcedIn == WorkJob.NOT_ANNOUNCED) {
            job.announcedIn = WorkJob.ANNOUNCEMENT_PENDING;
        }
        boolean isAllowed = state.accounts.ensureAnnounced(job.usage, step.declaredCapacity, tasks);
        return isAllowed && job.announcedIn <= state.storedGeneration;
    }

    /** Keeps room below the limit of the account for a task that has a host and is not ordered in this cycle. */
    private static void reserveForAccount(WorkStep step) {
        step.job.usage.reserve(step.job.submission.service(), step.declaredCapacity);
    }

    /** Asks the external policy about hosts without a known decision, ahead of the placement of the whole step. */
    private void requestTickets(WorkStep step, HostChoice choice, List<WorkOrder> orders, long now) {
        if (step.tickets == null
                || state.pendingAdvisorRequests >= MAX_PENDING_ADVISOR_REQUESTS
                || step.waitingTasks == 0) {
            return;
        }
        List<String> hosts = step.tickets.createRequest(choice.hosts(), now);
        if (!hosts.isEmpty()) {
            state.pendingAdvisorRequests++;
            orders.add(new WorkOrder.AskAdvisor(step.job.identifier(), step.occurrence, step.number, hosts));
        }
    }

    /** Returns the hosts on which the external policy permits a step. */
    private static Collection<WorkHost> filterPermitted(WorkStep step, Collection<WorkHost> hosts, long now) {
        StepTickets tickets = step.tickets;
        return tickets == null
                ? hosts
                : hosts.stream()
                        .filter(host -> tickets.findTicket(host.identifier, now).isPresent())
                        .toList();
    }

    /** Returns the hosts on the rack where a step has started when it prefers a single rack, or else all hosts. */
    private static Collection<WorkHost> filterByRack(WorkStep step, HostChoice choice) {
        if (!step.specification.sameRack()) {
            return choice.hosts();
        }
        for (WorkTask task : step.keptTasks()) {
            if (task.run != null) {
                Optional<String> rack = task.run.host.entry.rack();
                List<WorkHost> sameRackHosts = choice.hosts().stream()
                        .filter(host -> host.entry.rack().equals(rack))
                        .toList();
                return sameRackHosts.isEmpty() ? choice.hosts() : sameRackHosts;
            }
        }
        return choice.hosts();
    }

    private void placeGang(WorkStep step, HostChoice choice, List<WorkOrder> orders, long now) {
        if (step.waitingTasks < step.taskCount() || !state.fitsAccountLimit(step, step.taskCount())) {
            return;
        }
        Map<WorkTask, WorkHost> assignments = null;
        if (step.specification.sameRack()) {
            for (List<WorkHost> rack : choice.groupByRack()) {
                assignments = assignments == null
                        ? tryPlaceGang(step, choice, filterPermitted(step, rack, now))
                        : assignments;
            }
        }
        assignments = assignments == null
                ? tryPlaceGang(step, choice, filterPermitted(step, choice.hosts(), now))
                : assignments;
        if (assignments == null) {
            return;
        }
        if (!ensureAnnounced(step, step.taskCount())) {
            step.keptTasks().forEach(task -> reserveForAccount(step));
            return;
        }
        long attempt = 0;
        String checkpoint = "";
        for (WorkTask task : step.keptTasks()) {
            attempt = Math.max(attempt, state.nextAttempt(task));
            checkpoint = checkpoint.isEmpty() ? task.checkpoint : checkpoint;
        }
        for (Map.Entry<WorkTask, WorkHost> assignment : assignments.entrySet()) {
            assignment.getKey().checkpoint = checkpoint;
            startTask(assignment.getKey(), assignment.getValue(), attempt, orders, now);
        }
    }

    private static @Nullable Map<WorkTask, WorkHost> tryPlaceGang(
            WorkStep step, HostChoice choice, Collection<WorkHost> candidates) {
        StepSpecification specification = step.specification;
        Map<WorkTask, WorkHost> assignments = new LinkedHashMap<>();
        Map<WorkHost, Integer> counts = new HashMap<>();
        for (WorkTask task : step.unfinishedTasks()) {
            List<WorkHost> allowed = candidates.stream()
                    .filter(host -> specification.maximumPerHost() == 0
                            || counts.getOrDefault(host, 0) < specification.maximumPerHost())
                    .toList();
            WorkHost host = choice.findHost(task, allowed);
            if (host == null) {
                assignments.values().forEach(reservedHost -> choice.release(reservedHost, specification));
                return null;
            }
            choice.reserve(host, specification);
            counts.merge(host, 1, Integer::sum);
            assignments.put(task, host);
        }
        return assignments;
    }

    /** Orders a run. The lease horizon leaves a lease whenever work may be started, as the terms have checked. */
    private WorkRun startTask(WorkTask task, WorkHost host, long attempt, List<WorkOrder> orders, long now) {
        RunKey key = new RunKey(task.key, attempt);
        WorkRun run = new WorkRun(key, task, host, now);
        ledger.attach(run);
        orders.add(new WorkOrder.Start(
                WorkState.targetOf(host),
                key,
                task.step.job.submission.payload(),
                state.grantLease(host, now).orElseThrow(),
                task.checkpoint,
                Optional.ofNullable(task.step.tickets).flatMap(tickets -> tickets.findTicket(host.identifier, now)),
                Optional.ofNullable(task.lastRun).map(LastRun::describeEvidence)));
        return run;
    }
}
