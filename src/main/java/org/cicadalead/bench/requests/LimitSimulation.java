package org.cicadalead.bench.requests;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * Simulates entry processes and the workers of one service in virtual time, with steps of one millisecond. Arrivals
 * alternate between a demand peak of five times the mean and an off-peak period, and are spread unevenly over the
 * processes. One process fails after half of the steps. For use by one thread.
 */
final class LimitSimulation {
    private static final int SLOTS_PER_WORKER = 8;
    private static final int STEP_COUNT = 60_000;
    private static final int DEMAND_CYCLE_MILLISECONDS = 10_000;
    private static final int PEAK_MILLISECONDS = 1_800;
    private static final double MEAN_UTILIZATION = 0.25;
    private static final double PEAK_FACTOR = 5;
    private static final double OFF_PEAK_FACTOR = 0.05;
    private static final int MEAN_WORK_MILLISECONDS = 40;
    private static final int TIMEOUT_MILLISECONDS = 2_000;
    private static final int HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;
    private static final int ROUND_TRIP_MILLISECONDS = 1;
    private static final double LAST_PROCESS_SHARE = 0.5;

    private final LimitStrategy strategy;
    private final int processes;
    private final int workers;
    private final Random random;
    private final int[] usedSlots;
    private final int[][] usedSlotsByProcess;
    private final int[][] reportedSlots;
    private final List<Queue<Integer>> queues = new ArrayList<>();
    private final PriorityQueue<RunningRequest> running =
            new PriorityQueue<>((first, second) -> Integer.compare(first.end(), second.end()));
    private final Histogram queueDelays = new Histogram(3);
    private int worstSlotUse;
    private long arrived;
    private long refused;
    private long refusedWhileFree;
    private long stepsWaitedWhileFree;
    private int failedProcess = -1;
    private int failedAtStep = -1;

    LimitSimulation(LimitStrategy strategy, int processes, int workers, long seed) {
        this.strategy = strategy;
        this.processes = processes;
        this.workers = workers;
        this.random = new Random(seed);
        this.usedSlots = new int[workers];
        this.usedSlotsByProcess = new int[processes][workers];
        this.reportedSlots = new int[processes][workers];
        for (int process = 0; process < processes; process++) {
            queues.add(new ArrayDeque<>());
        }
    }

    LimitResult run() {
        for (int step = 0; step < STEP_COUNT; step++) {
            if (step == STEP_COUNT / 2) {
                failProcess(step);
            }
            endRequests(step);
            addArrivals(step);
            if (step % HEARTBEAT_INTERVAL_MILLISECONDS == 0) {
                deliverHeartbeats();
            }
            for (int process = 0; process < processes; process++) {
                serveQueue(process, step);
            }
            worstSlotUse = Math.max(worstSlotUse, largest(usedSlots));
        }
        return new LimitResult(
                strategy,
                processes,
                workers,
                worstSlotUse,
                queueDelays.getValueAtPercentile(50),
                queueDelays.getValueAtPercentile(99),
                arrived,
                refused,
                refusedWhileFree,
                stepsWaitedWhileFree);
    }

    /**
     * Fails a process. The requests that it has at the workers run to their end; its queue is lost, and callers use the
     * other processes from then on.
     */
    private void failProcess(int step) {
        failedProcess = 0;
        failedAtStep = step;
        refused += queues.get(failedProcess).size();
        queues.get(failedProcess).clear();
    }

    private void endRequests(int step) {
        while (!running.isEmpty() && running.peek().end() <= step) {
            RunningRequest ended = running.poll();
            usedSlots[ended.worker()]--;
            usedSlotsByProcess[ended.process()][ended.worker()]--;
        }
    }

    private void addArrivals(int step) {
        double demandFactor = step % DEMAND_CYCLE_MILLISECONDS < PEAK_MILLISECONDS ? PEAK_FACTOR : OFF_PEAK_FACTOR;
        double expectedArrivals = demandFactor * MEAN_UTILIZATION * workers * SLOTS_PER_WORKER / MEAN_WORK_MILLISECONDS;
        int count = (int) expectedArrivals + (random.nextDouble() < expectedArrivals % 1 ? 1 : 0);
        for (int arrival = 0; arrival < count; arrival++) {
            arrived++;
            int process = random.nextDouble() < LAST_PROCESS_SHARE ? processes - 1 : random.nextInt(processes);
            queues.get(process == failedProcess ? processes - 1 : process).add(step);
        }
    }

    private void deliverHeartbeats() {
        for (int process = 0; process < processes; process++) {
            System.arraycopy(usedSlots, 0, reportedSlots[process], 0, workers);
        }
    }

    private void serveQueue(int process, int step) {
        Queue<Integer> queue = queues.get(process);
        while (!queue.isEmpty() && step - queue.peek() > TIMEOUT_MILLISECONDS) {
            queue.poll();
            refused++;
            refusedWhileFree += smallest(usedSlots) < SLOTS_PER_WORKER ? 1 : 0;
        }
        boolean hasWorker = true;
        while (hasWorker && !queue.isEmpty()) {
            int worker = chooseWorker(process, step);
            hasWorker = worker >= 0;
            if (hasWorker) {
                int extraMilliseconds = strategy == LimitStrategy.DISPATCHER ? ROUND_TRIP_MILLISECONDS : 0;
                queueDelays.recordValue(step - queue.poll() + extraMilliseconds);
                usedSlots[worker]++;
                usedSlotsByProcess[process][worker]++;
                reportedSlots[process][worker]++;
                running.add(new RunningRequest(
                        step + 1 + (int) (-Math.log(1 - random.nextDouble()) * MEAN_WORK_MILLISECONDS),
                        process,
                        worker));
            }
        }
        stepsWaitedWhileFree += !queue.isEmpty() && smallest(usedSlots) < SLOTS_PER_WORKER ? queue.size() : 0;
    }

    private int chooseWorker(int process, int step) {
        if (strategy == LimitStrategy.TWO_CHOICES) {
            int first = random.nextInt(workers);
            int second = random.nextInt(workers);
            int lessLoaded = reportedSlots[process][first] <= reportedSlots[process][second] ? first : second;
            return reportedSlots[process][lessLoaded] < SLOTS_PER_WORKER ? lessLoaded : -1;
        }
        if (strategy == LimitStrategy.DISPATCHER) {
            boolean isDispatcherMissing = failedAtStep >= 0 && step - failedAtStep < strategy.takeOverMilliseconds();
            return isDispatcherMissing ? -1 : findLeastUsed(usedSlots, SLOTS_PER_WORKER);
        }
        int ownShareWorker = findWorkerInOwnShare(process);
        return ownShareWorker >= 0 || !strategy.lendsSlots() ? ownShareWorker : findWorkerWithLendableSlot();
    }

    private int findWorkerInOwnShare(int process) {
        int best = -1;
        for (int worker = 0; worker < workers; worker++) {
            boolean isFree = usedSlotsByProcess[process][worker] < share(process, worker)
                    && usedSlots[worker] < SLOTS_PER_WORKER;
            if (isFree && (best < 0 || usedSlots[worker] < usedSlots[best])) {
                best = worker;
            }
        }
        return best;
    }

    /** Finds a worker with a free slot whose owner is running; the failed process cannot lend its slots. */
    private int findWorkerWithLendableSlot() {
        for (int worker = 0; worker < workers; worker++) {
            int lostSlots = failedProcess >= 0
                    ? Math.max(0, share(failedProcess, worker) - usedSlotsByProcess[failedProcess][worker])
                    : 0;
            if (usedSlots[worker] + lostSlots < SLOTS_PER_WORKER) {
                return worker;
            }
        }
        return -1;
    }

    private int share(int process, int worker) {
        int position = Math.floorMod(process + worker, processes);
        return SLOTS_PER_WORKER / processes + (position < SLOTS_PER_WORKER % processes ? 1 : 0);
    }

    private static int findLeastUsed(int[] counts, int limit) {
        int best = 0;
        for (int worker = 1; worker < counts.length; worker++) {
            best = counts[worker] < counts[best] ? worker : best;
        }
        return counts[best] < limit ? best : -1;
    }

    private static int smallest(int[] counts) {
        int smallest = counts[0];
        for (int count : counts) {
            smallest = Math.min(smallest, count);
        }
        return smallest;
    }

    private static int largest(int[] counts) {
        int largest = counts[0];
        for (int count : counts) {
            largest = Math.max(largest, count);
        }
        return largest;
    }

    private record RunningRequest(int end, int process, int worker) {}
}
