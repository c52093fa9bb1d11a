package org.cicadalead.bench.requests;

/**
 * How one way kept the workers' limits in virtual time. Immutable.
 *
 * @param way the way
 * @param processes number of entry processes
 * @param workers number of workers, of 8 slots each
 * @param worstSlotUse most requests at one worker at once
 * @param queueDelayMedianMilliseconds median wait for a slot
 * @param queueDelayNinetyNinthMilliseconds 99th percentile of the wait
 * @param arrived requests
 * @param refused requests that were given up, those of the dead process included
 * @param refusedWhileFree requests given up while some worker had a free slot
 * @param requestMillisecondsWaitedWhileFree time that requests waited while some worker had a free slot
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
