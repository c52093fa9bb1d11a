package org.cicadalead.bench.requests;

/**
 * How one strategy kept the workers' slot limits in the simulation. Times are virtual. Immutable.
 *
 * @param way the strategy
 * @param processes number of entry processes
 * @param workers number of workers, with 8 slots each
 * @param worstSlotUse maximum number of concurrent requests at one worker
 * @param queueDelayMedianMilliseconds median time that a request waited for a slot
 * @param queueDelayNinetyNinthMilliseconds 99th percentile of this time
 * @param arrived number of requests that arrived
 * @param refused requests that timed out in a queue or were queued at the process that failed
 * @param refusedWhileFree requests that timed out while some worker had a free slot
 * @param requestMillisecondsWaitedWhileFree total time that requests waited while some worker had a free slot
 */
public record LimitResult(
        LimitStrategy way,
        int processes,
        int workers,
        int worstSlotUse,
        long queueDelayMedianMilliseconds,
        long queueDelayNinetyNinthMilliseconds,
        long arrived,
        long refused,
        long refusedWhileFree,
        long requestMillisecondsWaitedWhileFree) {}
