package org.cicadalead.bench.requests;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * Entry processes and the workers of one service in virtual time, one millisecond a step: arrivals take turns between a
 * burst of five times the mean and a lull, spread unevenly over the processes; one process dies half way. Used by one
 * thread.
 */
final class LimitSimulation {
    private static final int SLOTS = 8;
    private static final int STEPS = 60_000;
    private static final int CYCLE = 10_000;
    private static final int BURST = 1_800;
    private static final double MEAN_USE = 0.25;
    private static final double BURST_FACTOR = 5;
    private static final double LULL_FACTOR = 0.05;
    private static final int WORK = 40;
    private static final int TIMEOUT = 2_000;
    private static final int HEARTBEAT = 1_000;
    private static final int ROUND_TRIP = 1;
    private static final double UNEVEN = 0.5;

    private final LimitWay way;
    private final int processes;
    private final int workers;
    private final Random random;
    private final int[] used;
    private final int[][] usedBy;
    private final int[][] heard;
    private final List<Queue<Integer>> queues = new ArrayList<>();
    private final PriorityQueue<Running> running =
            new PriorityQueue<>((first, second) -> Integer.compare(first.end(), second.end()));
    private final Histogram delays = new Histogram(3);
    private int worst;
    private long arrived;
    private long refused;
    private long refusedWhileFree;
    private long stepsWaitedWhileFree;
    private int dead = -1;
    private int diedAt = -1;

    LimitSimulation(LimitWay way, int processes, int workers, long seed) {
        this.way = way;
        this.processes = processes;
        this.workers = workers;
        this.random = new Random(seed);
        this.used = new int[workers];
        this.usedBy = new int[processes][workers];
        this.heard = new int[processes][workers];
        for (int process = 0; process < processes; process++) {
            queues.add(new ArrayDeque<>());
        }
    }

    LimitResult run() {
        for (int step = 0; step < STEPS; step++) {
            if (step == STEPS / 2) {
                die(step);
            }
            endWork(step);
            arrive(step);
            if (step % HEARTBEAT == 0) {
                hear();
            }
            for (int process = 0; process < processes; process++) {
                serve(process, step);
            }
            worst = Math.max(worst, largest(used));
        }
        return new LimitResult(
                way,
                processes,
                workers,
                worst,
                delays.getValueAtPercentile(50),
                delays.getValueAtPercentile(99),
                arrived,
                refused,
                refusedWhileFree,
                stepsWaitedWhileFree);
    }

    /** The requests of the dead process end at their workers; callers come through the others from then on. */
    private void die(int step) {
        dead = 0;
        diedAt = step;
        refused += queues.get(dead).size();
        queues.get(dead).clear();
    }

    private void endWork(int step) {
        while (!running.isEmpty() && running.peek().end() <= step) {
            Running ended = running.poll();
            used[ended.worker()]--;
            usedBy[ended.process()][ended.worker()]--;
        }
    }

    private void arrive(int step) {
        double factor = step % CYCLE < BURST ? BURST_FACTOR : LULL_FACTOR;
        double expected = factor * MEAN_USE * workers * SLOTS / WORK;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int arrival = 0; arrival < count; arrival++) {
            arrived++;
            int process = random.nextDouble() < UNEVEN ? processes - 1 : random.nextInt(processes);
            queues.get(process == dead ? processes - 1 : process).add(step);
        }
    }

    private void hear() {
        for (int process = 0; process < processes; process++) {
            System.arraycopy(used, 0, heard[process], 0, workers);
        }
    }

    private void serve(int process, int step) {
        Queue<Integer> queue = queues.get(process);
        while (!queue.isEmpty() && step - queue.peek() > TIMEOUT) {
            queue.poll();
            refused++;
            refusedWhileFree += smallest(used) < SLOTS ? 1 : 0;
        }
        boolean goesOn = true;
        while (goesOn && !queue.isEmpty()) {
            int worker = choose(process, step);
            goesOn = worker >= 0;
            if (goesOn) {
                int extra = way == LimitWay.DISPATCHER ? ROUND_TRIP : 0;
                delays.recordValue(step - queue.poll() + extra);
                used[worker]++;
                usedBy[process][worker]++;
                heard[process][worker]++;
                running.add(new Running(step + 1 + (int) (-Math.log(1 - random.nextDouble()) * WORK), process, worker));
            }
        }
        stepsWaitedWhileFree += !queue.isEmpty() && smallest(used) < SLOTS ? queue.size() : 0;
    }

    private int choose(int process, int step) {
        if (way == LimitWay.TWO_CHOICES) {
            int first = random.nextInt(workers);
            int second = random.nextInt(workers);
            int better = heard[process][first] <= heard[process][second] ? first : second;
            return heard[process][better] < SLOTS ? better : -1;
        }
        if (way == LimitWay.DISPATCHER) {
            boolean noDispatcher = diedAt >= 0 && step - diedAt < way.takeOverMilliseconds();
            return noDispatcher ? -1 : leastUsed(used, SLOTS);
        }
        int own = ownWorker(process);
        return own >= 0 || !way.lends() ? own : borrow();
    }

    private int ownWorker(int process) {
        int best = -1;
        for (int worker = 0; worker < workers; worker++) {
            boolean free = usedBy[process][worker] < share(process, worker) && used[worker] < SLOTS;
            if (free && (best < 0 || used[worker] < used[best])) {
                best = worker;
            }
        }
        return best;
    }

    /** A slot is lent by a live owner that has it free; the dead one's are not lent. */
    private int borrow() {
        for (int worker = 0; worker < workers; worker++) {
            int reserved = dead >= 0 ? Math.max(0, share(dead, worker) - usedBy[dead][worker]) : 0;
            if (used[worker] + reserved < SLOTS) {
                return worker;
            }
        }
        return -1;
    }

    private int share(int process, int worker) {
        int position = Math.floorMod(process + worker, processes);
        return SLOTS / processes + (position < SLOTS % processes ? 1 : 0);
    }

    private static int leastUsed(int[] counts, int limit) {
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

    private record Running(int end, int process, int worker) {}
}
