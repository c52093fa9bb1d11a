package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StepSpecification;
import org.jspecify.annotations.Nullable;

/** Gives the room of each service to its waiting tasks. For use by one thread. */
final class TaskPlacement {
    /** Questions to the outside policy at a time; it refuses more than 32, and takes them one after the other. */
    private static final int MAX_PENDING_ADVISOR_REQUESTS = 16;

    private final WorkState state;
    private final RunLedger ledger;
    private final TakeoverGate gate;

    TaskPlacement(WorkState state, RunLedger ledger, TakeoverGate gate) {
        this.state = state;
        this.ledger = ledger;
        this.gate = gate;
    }

    /** Starts what has room. */
    void place(List<WorkOrder> orders, WorkTime now) {
        findWaitingJobs(now.monotonic()).forEach((service, jobs) -> placeService(service, jobs, orders, now));
    }

    private Map<String, List<WorkJob>> findWaitingJobs(long now) {
        Map<String, List<WorkJob>> waiting = new HashMap<>();
        for (WorkJob job : state.jobs.values()) {
            if (!job.phase.isTerminal() && hasWaitingTask(job) && gate.canStart(job, now)) {
                waiting.computeIfAbsent(job.submission.service(), unseen -> new ArrayList<>())
                        .add(job);
            }
        }
        return waiting;
    }

    private static boolean hasWaitingTask(WorkJob job) {
        for (WorkStep step : job.openSteps()) {
            for (WorkTask task : step.tasks) {
                if (task.isWaiting()) {
                    return true;
                }
            }
        }
        return false;
    }

    private void placeService(String service, List<WorkJob> jobs, List<WorkOrder> orders, WorkTime now) {
        HostChoice choice = new HostChoice(state.findHosts(service), now.monotonic());
        if (choice.isEmpty()) {
            return;
        }
        for (WorkJob job : WorkOrdering.sort(jobs, now.wall())) {
            for (WorkStep step : job.openSteps()) {
                requestTickets(step, choice, orders, now.monotonic());
                if (step.specification.gang()) {
                    placeGang(step, choice, orders, now.monotonic());
                } else {
                    placeTasks(step, choice, orders, now);
                }
            }
        }
    }

    private void placeTasks(WorkStep step, HostChoice choice, List<WorkOrder> orders, WorkTime now) {
        for (WorkTask task : step.tasks) {
            if (!task.isWaiting()) {
                continue;
            }
            WorkHost host = choice.findHost(task, filterPermitted(step, filterByRack(step, choice), now.monotonic()));
            if (host == null) {
                if (step.specification.longRunning()) {
                    Preemption.stopShortTasksFor(task, filterPermitted(step, choice.hosts(), now.monotonic()), now);
                }
                return;
            }
            choice.reserve(host, step.specification);
            if (ensureAnnounced(step.job)) {
                startTask(task, host, state.nextAttempt(task), orders, now.monotonic());
            }
        }
    }

    /**
     * Tells whether a successor would know that something of a job may run, so that it may be started; has it stated
     * otherwise.
     */
    private boolean ensureAnnounced(WorkJob job) {
        if (job.announcedIn == WorkJob.NOT_ANNOUNCED) {
            job.announcedIn = WorkJob.ANNOUNCEMENT_PENDING;
        }
        return job.announcedIn <= state.storedGeneration;
    }

    /** Asks the outside policy about all hosts that it has not been asked about, in good time for the whole step. */
    private void requestTickets(WorkStep step, HostChoice choice, List<WorkOrder> orders, long now) {
        if (step.tickets == null
                || state.pendingAdvisorRequests >= MAX_PENDING_ADVISOR_REQUESTS
                || step.tasks.stream().noneMatch(WorkTask::isWaiting)) {
            return;
        }
        List<String> question = step.tickets.createRequest(choice.hosts(), now);
        if (!question.isEmpty()) {
            state.pendingAdvisorRequests++;
            orders.add(new WorkOrder.AskAdvisor(step.job.identifier(), step.occurrence, step.number, question));
        }
    }

    /** Returns hosts that a step may run on, by the outside policy. */
    private static Collection<WorkHost> filterPermitted(WorkStep step, Collection<WorkHost> hosts, long now) {
        StepTickets tickets = step.tickets;
        return tickets == null
                ? hosts
                : hosts.stream()
                        .filter(host -> tickets.findTicket(host.identifier, now).isPresent())
                        .toList();
    }

    /** Keeps a step that needs one rack on the rack where it has begun. */
    private static Collection<WorkHost> filterByRack(WorkStep step, HostChoice choice) {
        if (!step.specification.sameRack()) {
            return choice.hosts();
        }
        for (WorkTask task : step.tasks) {
            if (task.run != null) {
                Optional<String> rack = task.run.host.entry.rack();
                List<WorkHost> near = choice.hosts().stream()
                        .filter(host -> host.entry.rack().equals(rack))
                        .toList();
                return near.isEmpty() ? choice.hosts() : near;
            }
        }
        return choice.hosts();
    }

    private void placeGang(WorkStep step, HostChoice choice, List<WorkOrder> orders, long now) {
        for (WorkTask task : step.tasks) {
            if (!task.isWaiting()) {
                return;
            }
        }
        Map<WorkTask, WorkHost> places = null;
        if (step.specification.sameRack()) {
            for (List<WorkHost> rack : choice.groupByRack()) {
                places = places == null ? tryPlaceGang(step, choice, filterPermitted(step, rack, now)) : places;
            }
        }
        places = places == null ? tryPlaceGang(step, choice, filterPermitted(step, choice.hosts(), now)) : places;
        if (places == null || !ensureAnnounced(step.job)) {
            return;
        }
        long attempt = 0;
        String checkpoint = "";
        for (WorkTask task : step.tasks) {
            attempt = Math.max(attempt, state.nextAttempt(task));
            checkpoint = checkpoint.isEmpty() ? task.checkpoint : checkpoint;
        }
        for (Map.Entry<WorkTask, WorkHost> place : places.entrySet()) {
            place.getKey().checkpoint = checkpoint;
            startTask(place.getKey(), place.getValue(), attempt, orders, now);
        }
    }

    private static @Nullable Map<WorkTask, WorkHost> tryPlaceGang(
            WorkStep step, HostChoice choice, Collection<WorkHost> among) {
        StepSpecification specification = step.specification;
        Map<WorkTask, WorkHost> places = new LinkedHashMap<>();
        Map<WorkHost, Integer> counts = new HashMap<>();
        for (WorkTask task : step.tasks) {
            List<WorkHost> allowed = among.stream()
                    .filter(host -> specification.maximumPerHost() == 0
                            || counts.getOrDefault(host, 0) < specification.maximumPerHost())
                    .toList();
            WorkHost host = choice.findHost(task, allowed);
            if (host == null) {
                places.values().forEach(taken -> choice.release(taken, specification));
                return null;
            }
            choice.reserve(host, specification);
            counts.merge(host, 1, Integer::sum);
            places.put(task, host);
        }
        return places;
    }

    private void startTask(WorkTask task, WorkHost host, long attempt, List<WorkOrder> orders, long now) {
        RunKey key = new RunKey(task.key, attempt);
        ledger.attach(new WorkRun(key, task, host, now));
        orders.add(new WorkOrder.Start(
                WorkState.targetOf(host),
                key,
                task.step.job.submission.payload(),
                host.extendLease(now, state.terms.leaseMilliseconds()),
                task.checkpoint,
                Optional.ofNullable(task.step.tickets).flatMap(tickets -> tickets.findTicket(host.identifier, now))));
    }
}
