package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.FleetPlan;

/** Demand and capacity of every pool during one cycle. For use by the scheduler's thread only. */
public final class PoolView {
    private static final double MILLICORES_PER_CORE = 1_000;

    /** Minimum remaining time assumed for a job, so that one that is nearly late does not demand the whole fleet. */
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
                Tally tally = tallies.computeIfAbsent(host.entry.service(), key -> new Tally());
                tally.hosts++;
                tally.cores += host.entry.capacity().milliCores() / MILLICORES_PER_CORE;
                if (host.runs.isEmpty() && host.hasStoredAllEnds() && host.canReceiveLease(now)) {
                    idle.add(host.identifier);
                }
                disposable.put(host.identifier, host.canReceiveLease(now) && runsNothingInTime(host, time));
            }
        }
        for (WorkJob job : state.liveJobs) {
            if (!job.phase.isTerminal() && WorkOrdering.canMeetObjective(job, time)) {
                tallies.computeIfAbsent(job.submission.service(), key -> new Tally())
                        .add(state, job, time.wall());
            }
        }
        double maxCoresPerHost =
                tallies.values().stream().mapToDouble(Tally::coresPerHost).max().orElse(0);
        tallies.forEach((service, tally) -> demands.put(
                service,
                tally.createDemand(
                        service,
                        maxCoresPerHost,
                        state.arrivals.estimateCores(service, now),
                        state.arrivals.estimateRise(service, now))));
    }

    /** Returns the demand of every pool. */
    public List<Demand> demands() {
        return new ArrayList<>(demands.values());
    }

    private static boolean runsNothingInTime(WorkHost host, WorkTime now) {
        for (WorkRun run : host.runs.values()) {
            if (WorkOrdering.canMeetObjective(run.task.step.job, now)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a host has no run that can still meet its objective, and no long-running one. */
    public boolean isDisposable(String host) {
        return disposable.getOrDefault(host, false);
    }

    /** Returns whether a host has no runs, and no ended run that is not stored. */
    public boolean isIdle(String host) {
        return idle.contains(host);
    }

    /** Returns whether the machines of a pool are switched off. */
    public boolean isStandby(String service) {
        return standby.contains(service);
    }

    /** Returns the pool whose machines are switched off; empty when there is none. */
    public String standbyService() {
        return standby.stream().sorted().findFirst().orElse("");
    }

    /** Returns the demand and capacity of one pool; empty for a pool that is not configured. */
    public Optional<Demand> findDemand(String service) {
        return Optional.ofNullable(demands.get(service));
    }

    /**
     * Demand and capacity of a pool.
     *
     * @param service the pool
     * @param hosts number of hosts
     * @param cores total processor cores of the hosts
     * @param coresPerHost cores of one host of the pool
     * @param waitingTasks number of tasks of jobs in time that could start with enough capacity
     * @param dueCores cores that are needed to finish the short jobs in time by their objectives
     * @param steadyCores cores that arriving work and long-running tasks keep busy
     * @param risingCores further cores that arriving work will keep busy when a machine ordered now arrives
     */
    public record Demand(
            String service,
            int hosts,
            double cores,
            double coresPerHost,
            int waitingTasks,
            double dueCores,
            double steadyCores,
            double risingCores) {}

    /** Accumulates the sums of one pool. Not thread-safe. */
    private static final class Tally {
        private int hosts;
        private double cores;
        private int waitingTasks;
        private double dueCores;
        private double longRunningCores;

        void add(WorkState state, WorkJob job, long wallNow) {
            if (!job.longRunning) {
                long remainingMilliseconds =
                        job.submission.acceptedMilliseconds() + job.objectiveMilliseconds() - wallNow;
                dueCores += state.remainingDominantWork(job) / Math.max(MIN_TIME_MILLISECONDS, remainingMilliseconds);
            }
            for (WorkStep step : job.longRunning ? job.openSteps() : List.<WorkStep>of()) {
                longRunningCores += step.taskCount() * state.dominantCores(step.specification);
            }
            for (WorkStep step : job.openSteps()) {
                waitingTasks += step.waitingTasks;
            }
        }

        double coresPerHost() {
            return hosts == 0 ? 0 : cores / hosts;
        }

        Demand createDemand(String service, double defaultCoresPerHost, double arrivingCores, double risingCores) {
            return new Demand(
                    service,
                    hosts,
                    cores,
                    hosts == 0 ? defaultCoresPerHost : coresPerHost(),
                    waitingTasks,
                    dueCores,
                    arrivingCores + longRunningCores,
                    risingCores);
        }
    }
}
