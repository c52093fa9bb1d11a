package org.cicadalead.logic.work;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunKey;

/**
 * A host and its runs. Its lease is computed on the slowest clock that the platform allows, so it never ends earlier
 * here than there. For use by one thread.
 */
final class WorkHost {
    /** Time without an answer after which a host gets no new work; over the wait of a look and its timeout. */
    static final long UNREACHABLE_AFTER_MILLISECONDS = 2_500;

    static final long NOT_ANNOUNCED_UNREACHABLE = 0;

    private static final int FAILURES_BEFORE_BACKOFF = 3;
    private static final long INITIAL_BACKOFF_MILLISECONDS = 1_000;
    private static final int MAX_BACKOFF_EXPONENT = 3;

    final String identifier;
    HostEntry entry;
    boolean registered = true;
    boolean answeredThisTerm;
    boolean incarnationUnknown;
    boolean cordoned;
    boolean leaving;
    final Map<RunKey, WorkRun> runs = new LinkedHashMap<>();
    final Set<RunKey> orphanedRuns = new LinkedHashSet<>();
    long processStartMilliseconds;
    long clockReading;
    long clockReadAt;
    long highestDeadline;
    long lastReplyAt;
    long highestEndNumber;
    long acknowledgedEndNumber;
    long announcedUnreachableIn = NOT_ANNOUNCED_UNREACHABLE;
    private int consecutiveFailures;
    private long excludedUntil = Long.MIN_VALUE;

    WorkHost(HostEntry entry) {
        this.identifier = entry.identifier();
        this.entry = entry;
    }

    /** Takes the clock and the incarnation from an answer; returns whether the host has started anew. */
    boolean applyListing(HostListing listing, long now) {
        boolean reborn = answeredThisTerm && listing.bornMilliseconds() != processStartMilliseconds;
        if (reborn) {
            highestDeadline = 0;
            highestEndNumber = 0;
            acknowledgedEndNumber = 0;
        }
        answeredThisTerm = true;
        incarnationUnknown = false;
        processStartMilliseconds = listing.bornMilliseconds();
        clockReading = listing.clockMilliseconds();
        clockReadAt = now;
        lastReplyAt = now;
        return reborn;
    }

    /** Returns a lease's end on the host's clock; remembers the latest one. */
    long extendLease(long now, long lease) {
        long deadline = clockReading + (now - clockReadAt) + lease;
        highestDeadline = Math.max(highestDeadline, deadline);
        return deadline;
    }

    /** Returns when all leases have expired for certain, on this process's monotonic clock. */
    long leaseExpiresAt() {
        return clockReadAt + Math.round((highestDeadline - clockReading) / SchedulingTerms.SLOWEST_CLOCK_RATE) + 1;
    }

    /** Tells whether the host has not answered for so long that it gets no work and no longer lease. */
    boolean isUnreachable(long now) {
        return now - lastReplyAt >= UNREACHABLE_AFTER_MILLISECONDS;
    }

    /** Tells whether leases may be given here: it answers, and no successor can believe that it does not. */
    boolean canReceiveLease(long now) {
        return answeredThisTerm && !isUnreachable(now) && announcedUnreachableIn == NOT_ANNOUNCED_UNREACHABLE;
    }

    boolean canAcceptWork(long now) {
        return registered && canReceiveLease(now) && !entry.draining() && !cordoned && !leaving && now >= excludedUntil;
    }

    /** Tells whether all ends that the host has listed are in the store; those of a host that goes are lost else. */
    boolean hasStoredAllEnds() {
        return acknowledgedEndNumber >= highestEndNumber;
    }

    /** Returns room that no run takes. */
    HostCapacity freeCapacity() {
        HostCapacity free = entry.capacity();
        for (WorkRun run : runs.values()) {
            free = free.minus(run.task.step.specification.requiredCapacity());
        }
        return free;
    }

    void countFailure(long now) {
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
            int exponent = Math.min(MAX_BACKOFF_EXPONENT, consecutiveFailures - FAILURES_BEFORE_BACKOFF);
            excludeUntil(now + (INITIAL_BACKOFF_MILLISECONDS << exponent));
        }
    }

    void countSuccess() {
        consecutiveFailures = 0;
    }

    void excludeUntil(long time) {
        excludedUntil = Math.max(excludedUntil, time);
    }
}
