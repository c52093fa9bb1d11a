package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cicadalead.model.work.TaskKey;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkSubmission;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Days on which many hosts of a service crash at about one time, and no task is the cause. */
class CrashBurstTest {
    private static final long FIRST_SEED = Long.getLong("cicadalead.work.seed", 1);
    private static final int RUNS = Integer.getInteger("cicadalead.work.runs", 20);
    private static final String SERVICE = "service";
    private static final int MACHINES = 12;
    private static final long ESTIMATED_MILLISECONDS = 5_000;
    private static final long CHECK_MILLISECONDS = 50;
    private static final long JOB_INTERVAL_MILLISECONDS = 900;
    private static final long BEFORE_CRASHES_MILLISECONDS = 8_000;
    private static final long AFTER_CRASHES_MILLISECONDS = 20_000;

    /** Time for which a task may wait although the service has room. */
    private static final long WAITING_MILLISECONDS = 3_000;

    /** How hosts crash, always those with the most runs, and whether the leader is replaced after each burst. */
    enum Day {
        THIRDS_OF_THE_HOSTS(3, MACHINES / 3, 5_000, false),
        THIRDS_OF_THE_HOSTS_AND_NEW_LEADERS(3, MACHINES / 3, 5_000, true),
        ONE_HOST_AFTER_ANOTHER(36, 1, 500, false);

        private final int bursts;
        private final int crashesOfBurst;
        private final long intervalMilliseconds;
        private final boolean replacesLeader;

        Day(int bursts, int crashesOfBurst, long intervalMilliseconds, boolean replacesLeader) {
            this.bursts = bursts;
            this.crashesOfBurst = crashesOfBurst;
            this.intervalMilliseconds = intervalMilliseconds;
            this.replacesLeader = replacesLeader;
        }
    }

    @ParameterizedTest
    @EnumSource
    @Tag("known-red")
    void startsTasksLostWithManyHostsWithoutWaitingInLine(Day day) {
        List<String> findings = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            for (String finding : new Play(seed, day).run()) {
                findings.add("seed " + seed + ", " + finding);
            }
        }
        assertEquals(List.of(), findings);
    }

    /** One play of a day. */
    private static final class Play {
        private final Random random;
        private final SimulatedFleet fleet;
        private final Day day;
        private final Map<TaskKey, Long> waitingSince = new HashMap<>();
        private final Set<TaskKey> reported = new HashSet<>();
        private final List<String> findings = new ArrayList<>();
        private long nextJobAt;
        private int jobs;

        Play(long seed, Day day) {
            this.random = new Random(seed);
            this.fleet = new SimulatedFleet(seed, FleetFaults.NONE, List.of(SERVICE), MACHINES);
            this.day = day;
        }

        List<String> run() {
            fleet.beginTerm();
            fleet.submit("lasting", SERVICE, List.of(SimulatedFleetTest.lastingStep(4)));
            advance(BEFORE_CRASHES_MILLISECONDS, true);
            for (int burst = 0; burst < day.bursts; burst++) {
                crashFullestHosts();
                if (day.replacesLeader) {
                    fleet.after(1_000L + random.nextInt(1_000), fleet::beginTerm);
                }
                advance(day.intervalMilliseconds, true);
            }
            advance(AFTER_CRASHES_MILLISECONDS, false);
            findings.addAll(fleet.oracle.violations);
            return findings;
        }

        private void crashFullestHosts() {
            List<SimulatedMachine> machines = fleet.machines().stream()
                    .filter(machine -> machine.host.up)
                    .sorted(Comparator.comparingLong(machine -> machine.host.freeMilliCores()))
                    .limit(day.crashesOfBurst)
                    .toList();
            for (SimulatedMachine machine : machines) {
                fleet.after(random.nextInt(1_000), () -> fleet.crash(machine, 3_000L + random.nextInt(600)));
            }
        }

        private void advance(long milliseconds, boolean submitsJobs) {
            long end = fleet.now() + milliseconds;
            while (fleet.now() < end) {
                if (submitsJobs && fleet.now() >= nextJobAt) {
                    nextJobAt = fleet.now() + JOB_INTERVAL_MILLISECONDS;
                    fleet.submit(
                            "job-" + jobs++,
                            SERVICE,
                            List.of(SimulatedFleetTest.stepOf(
                                    1 + random.nextInt(5), ESTIMATED_MILLISECONDS, List.of(), false)));
                }
                fleet.runCalmly(CHECK_MILLISECONDS);
                checkWaitingTasks();
            }
        }

        private void checkWaitingTasks() {
            if (!hasRoomTwiceOver()) {
                waitingSince.clear();
                return;
            }
            Set<TaskKey> running = new HashSet<>();
            fleet.hosts().forEach(host -> host.running().forEach(run -> running.add(run.task())));
            for (WorkSubmission submission : fleet.submissions.values()) {
                boolean hasEnded = fleet.phaseOf(submission.job())
                        .filter(WorkPhase::isTerminal)
                        .isPresent();
                for (int index = 0; index < submission.steps().get(0).taskCount(); index++) {
                    TaskKey task = new TaskKey(submission.job(), 0, 0, index);
                    if (hasEnded || running.contains(task) || fleet.oracle.hasFinished(task)) {
                        waitingSince.remove(task);
                    } else {
                        checkWaitingTask(task);
                    }
                }
            }
        }

        private void checkWaitingTask(TaskKey task) {
            long since = Optional.ofNullable(waitingSince.putIfAbsent(task, fleet.now()))
                    .orElse(fleet.now());
            if (fleet.now() - since >= WAITING_MILLISECONDS && reported.add(task)) {
                findings.add(fleet.now() + ": " + task + " waits since " + since);
            }
        }

        /** Returns whether all hosts are up, under half of their capacity is in use, and one has room for two tasks. */
        private boolean hasRoomTwiceOver() {
            long free = 0;
            long total = 0;
            boolean hasRoom = false;
            for (SimulatedHost host : fleet.hosts()) {
                if (!host.up) {
                    return false;
                }
                free += host.freeMilliCores();
                total += host.capacity.milliCores();
                hasRoom |= host.freeMilliCores() >= 2 * SimulatedHost.TASK_MILLICORES;
            }
            return hasRoom && free > total / 2;
        }
    }
}
