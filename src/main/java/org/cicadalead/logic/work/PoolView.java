package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.FleetPlan;

/** Demand and room of every pool, as they are during one round. For use by the scheduler's thread. */
public final class PoolView {
    private static final double MILLICORES_PER_CORE = 1_000;

    /** Time that is counted for jobs which are nearly late, so that one of them does not ask for the whole fleet. */
    private static final long MIN_TIME_MILLISECONDS = 800;

    private final Map<String, Demand> demands = new HashMap<>();
    private final Map<String, Boolean> disposable = new HashMap<>();
    private final Set<String> idle = new HashSet<>();
    private final Set<String> standby;

    PoolView(WorkState state, FleetPlan plan, WorkTime time) {
        long now = time.monotonic();
        this.standby = plan.standbyServices();
        Map<String, Tally> tallies = new HashMap<>();
        plan.services().forEach(service -> tallies.put(service, new Tally()));
        for (WorkHost host : state.hosts.values()) {
            if (host.registered && !host.entry.draining() && !host.leaving) {
                Tally tally = tallies.computeIfAbsent(host.entry.service(), unseen -> new Tally());
                tally.hosts++;
                tally.cores += host.entry.capacity().milliCores() / MILLICORES_PER_CORE;
                if (host.runs.isEmpty() && host.hasStoredAllEnds() && host.canReceiveLease(now)) {
                    idle.add(host.identifier);
                }
                disposable.put(host.identifier, host.canReceiveLease(now) && runsNothingInTime(host, time.wall()));
            }
        }
        for (WorkJob job : state.jobs.values()) {
            if (!job.phase.isTerminal() && WorkOrdering.canMeetObjective(job, time.wall())) {
                tallies.computeIfAbsent(job.submission.service(), unseen -> new Tally())
                        .add(job, time.wall());
            }
        }
        double largest =
                tallies.values().stream().mapToDouble(Tally::coresPerHost).max().orElse(0);
        tallies.forEach((service, tally) ->
                demands.put(service, tally.createDemand(service, largest, state.arrivals.estimateCores(service, now))));
    }

    /** Returns the demand of every pool. */
    public List<Demand> demands() {
        return new ArrayList<>(demands.values());
    }

    private static boolean runsNothingInTime(WorkHost host, long wallNow) {
        for (WorkRun run : host.runs.values()) {
            if (WorkOrdering.canMeetObjective(run.task.step.job, wallNow)) {
                return false;
            }
        }
        return true;
    }

    /** Tells whether a host runs nothing that can still meet its objective, and nothing that lasts. */
    public boolean isDisposable(String host) {
        return disposable.getOrDefault(host, false);
    }

    /** Tells whether a host runs nothing. */
    public boolean isIdle(String host) {
        return idle.contains(host);
    }

    /** Tells whether machines of a pool are switched off. */
    public boolean isStandby(String service) {
        return standby.contains(service);
    }

    /** Returns the pool whose machines are switched off; empty where there is none. */
    public String standbyService() {
        return standby.stream().sorted().findFirst().orElse("");
    }

    /** Returns demand and room of one pool; empty for a pool that is not configured. */
    public Optional<Demand> findDemand(String service) {
        return Optional.ofNullable(demands.get(service));
    }

    /**
     * Demand and room of a pool.
     *
     * @param service the pool
     * @param hosts hosts that are there
     * @param cores their processor cores
     * @param coresPerHost cores of a host of this kind
     * @param waitingTasks tasks of jobs in time that could start if there were room
     * @param dueCores cores that the jobs in time which end by themselves keep busy until their objectives
     * @param steadyCores cores that the arriving work and lasting tasks keep busy
     */
    public record Demand(
            String service,
            int hosts,
            double cores,
            double coresPerHost,
            int waitingTasks,
            double dueCores,
            double steadyCores) {}

    /** Sums for one pool. For use by one thread. */
    private static final class Tally {
        private int hosts;
        private double cores;
        private int waitingTasks;
        private double dueCores;
        private double longRunningCores;

        void add(WorkJob job, long wallNow) {
            if (!job.longRunning) {
                long left = job.submission.acceptedMilliseconds() + job.objectiveMilliseconds - wallNow;
                dueCores += job.remainingWork() / Math.max(MIN_TIME_MILLISECONDS, left);
            }
            for (WorkStep step : job.longRunning ? job.openSteps() : List.<WorkStep>of()) {
                longRunningCores += step.tasks.size()
                        * step.specification.requiredCapacity().milliCores()
                        / MILLICORES_PER_CORE;
            }
            for (WorkStep step : job.openSteps()) {
                for (WorkTask task : step.tasks) {
                    waitingTasks += task.isWaiting() ? 1 : 0;
                }
            }
        }

        double coresPerHost() {
            return hosts == 0 ? 0 : cores / hosts;
        }

        Demand createDemand(String service, double coresElsewhere, double arriving) {
            return new Demand(
                    service,
                    hosts,
                    cores,
                    hosts == 0 ? coresElsewhere : coresPerHost(),
                    waitingTasks,
                    dueCores,
                    arriving + longRunningCores);
        }
    }
}
