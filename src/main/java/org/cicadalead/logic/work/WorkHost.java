package org.cicadalead.logic.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunKey;
import org.jspecify.annotations.Nullable;

/**
 * A host and its runs. The expiry of its lease is computed for the slowest clock that the platform allows, so a lease
 * never expires here before it expires on the host. Not thread-safe.
 */
final class WorkHost {
    /** Time without a reply after which a host gets no new work; longer than the wait of a poll and its timeout. */
    static final long UNREACHABLE_AFTER_MILLISECONDS = 2_500;

    static final long NOT_ANNOUNCED_UNREACHABLE = 0;

    /** Time in which a poll of a silent host has its reply or reaches its time limit. */
    static final long SILENT_POLL_MILLISECONDS = 500;

    /** Longer than any poll is open. */
    private static final long LONGEST_POLL_MILLISECONDS = 10_000;

    /** Monotonic time before every other; halved so that computing a duration does not overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private static final int FAILURES_BEFORE_BACKOFF = 3;
    private static final long INITIAL_BACKOFF_MILLISECONDS = 1_000;
    private static final int MAX_BACKOFF_EXPONENT = 3;

    /**
     * Time after a failure from which a long-running task without another host uses this one. A long-running task must
     * run again 9 seconds after its last run ended, of which up to 6 pass until the end of a lost host is certain.
     */
    private static final long LAST_RESORT_BACKOFF_MILLISECONDS = 2_000;

    final String identifier;

    /**
     * Registry entry of the process that replies: its newest one, or that of its predecessor until there is one. Before
     * the first reply the newest entry of all.
     */
    HostEntry entry;

    /** The newest registry entry, which may be that of another process than the one that replies. */
    private HostEntry newestEntry;

    /** Address at which its present process has replied in this term; empty before it has. */
    private String confirmedAddress = "";

    /** Address of the newest poll. */
    private String polledAddress;

    /** Monotonic times in milliseconds at which the polls were sent that have not ended yet. */
    private final Deque<Long> openPolls = new ArrayDeque<>();

    /** Time in milliseconds for which the host may wait before it replies to the newest poll. */
    private long newestPollWait;

    /** Whether the entry's address is polled instead of the confirmed one, at which there was no reply. */
    private boolean triesEntryAddress;

    /** Services that its process has had before, of whose jobs it may still have runs or ends. */
    private Set<String> formerServices = Set.of();

    boolean registered = true;
    boolean repliedThisTerm;
    boolean incarnationUnknown;
    boolean cordoned;
    boolean leaving;
    Optional<String> machine = Optional.empty();
    /** The runs; changed only by {@link #addRun} and {@link #removeRun}. */
    final Map<RunKey, WorkRun> runs = new LinkedHashMap<>();

    /** The start that excludes all others on this host for the time being; null when there is none. */
    @Nullable IsolatedStart isolatedStart;

    final Set<RunKey> orphanedRuns = new LinkedHashSet<>();
    long processStartMilliseconds;
    long clockReading;
    long clockReadAt;

    /** Time of the last list on the clock of the host, in milliseconds. */
    private long listedAtClock;

    long highestDeadline;
    long lastReplyAt;
    /** Monotonic time in milliseconds of the last reply, which the end of the process leaves as it is. */
    long lastHeardAt = NEVER;

    /** Monotonic time in milliseconds of the first reply of its process; after all times before there is one. */
    long heardSince = Long.MAX_VALUE;

    long highestEndNumber;
    long acknowledgedEndNumber;

    /**
     * Monotonic time in milliseconds at which its leases of earlier terms have expired; before all times without one.
     */
    long earlierLeaseExpiresAt = NEVER;

    /** Whether the last list may leave out ends that have not been acknowledged. */
    private boolean hasFurtherEnds;

    long announcedUnreachableIn = NOT_ANNOUNCED_UNREACHABLE;
    private HostCapacity takenCapacity = HostCapacity.NONE;
    /** Capacity of active runs that this term does not keep, until the host no longer lists them. */
    private HostCapacity orphanedCapacity = HostCapacity.NONE;

    /** Steps of the active runs of accounts that this term does not keep, one entry for each run. */
    private List<WorkStep> orphansOfAccounts = List.of();

    private long orphansExpireAt = NEVER;
    private int longRunningRuns;
    private int spareCapacityRuns;
    private int consecutiveFailures;
    private long excludedUntil = Long.MIN_VALUE;
    private long clearedUntil = Long.MIN_VALUE;
    private long backoffStartedAt = NEVER;
    private long backoffUntil = Long.MIN_VALUE;

    /**
     * Creates a host that has not replied yet.
     *
     * @param silentSince monotonic time in milliseconds from which its silence counts
     */
    WorkHost(HostEntry entry, long silentSince) {
        this.identifier = entry.identifier();
        this.entry = entry;
        this.newestEntry = entry;
        this.polledAddress = entry.address();
        this.lastReplyAt = silentSince;
    }

    /**
     * Records that the process of the host has ended for certain, and its leases with it. The host may return under the
     * same identifier; until it replies it counts as unreachable.
     */
    void end() {
        releaseOrphansOfAccounts();
        formerServices = Set.of();
        confirmedAddress = "";
        triesEntryAddress = false;
        registered = false;
        repliedThisTerm = false;
        highestDeadline = 0;
        clockReading = 0;
        clockReadAt = 0;
        processStartMilliseconds = 0;
        highestEndNumber = 0;
        acknowledgedEndNumber = 0;
        hasFurtherEnds = false;
        earlierLeaseExpiresAt = NEVER;
        lastReplyAt = NEVER;
        heardSince = Long.MAX_VALUE;
        adoptNewestEntry();
    }

    /**
     * Returns the address for polls and orders. A process keeps its address while it lives. So an entry that names
     * another one is tried only while there is no reply at the confirmed address.
     */
    String address() {
        return confirmedAddress.isEmpty() || triesEntryAddress ? newestEntry.address() : confirmedAddress;
    }

    /**
     * Records a poll that is sent now.
     *
     * @param wait time in milliseconds for which the host may wait before it replies
     * @return its address
     */
    String beginPoll(long wait, long now) {
        polledAddress = address();
        newestPollWait = wait;
        openPolls.removeIf(sentAt -> now - sentAt >= LONGEST_POLL_MILLISECONDS);
        openPolls.addLast(now);
        return polledAddress;
    }

    /** Records that a poll has a reply, or none within its time limit. */
    void endPoll(long sentAt) {
        openPolls.removeFirstOccurrence(sentAt);
    }

    /** Returns whether the newest poll is open and lets the host wait for longer than a time in milliseconds. */
    boolean isPolledWithLongerWait(long wait) {
        return !openPolls.isEmpty() && newestPollWait > wait;
    }

    /**
     * Returns the monotonic time in milliseconds until which a silent host is waited for: until no lease is left, and
     * for the longest lease of the platform from its last reply, as it may be back by then and list what has ended.
     */
    long awaitedUntil(SchedulingTerms terms) {
        return Math.max(leaseExpiresAt(), lastReplyAt + terms.maximumLeaseMilliseconds());
    }

    /** Returns whether a silent host may still reply in time: a poll of the time until which it is awaited is open. */
    boolean mayReplyInTime(SchedulingTerms terms, long now) {
        long awaitedUntil = awaitedUntil(terms);
        return now < awaitedUntil
                || openPolls.stream()
                        .anyMatch(sentAt -> sentAt <= awaitedUntil && now - sentAt < SILENT_POLL_MILLISECONDS);
    }

    String polledAddress() {
        return polledAddress;
    }

    boolean isConfirmedAt(String address) {
        return confirmedAddress.equals(address);
    }

    boolean hasConfirmedAddress() {
        return !confirmedAddress.isEmpty();
    }

    /** Records that its process has replied at an address. */
    void confirmAddress(String address) {
        confirmedAddress = address;
        triesEntryAddress = false;
    }

    /** Records that it has not replied, or that another process did, at the address that was polled last. */
    void onNoReply() {
        triesEntryAddress = !triesEntryAddress;
    }

    /** Records that the host has replied to any order, so that it has outlived the starts of a while ago. */
    void onReply(long now) {
        lastHeardAt = now;
        runs.values().forEach(run -> run.onHostReplied(now));
    }

    /** Replaces the newest registry entry; one of the present process shows that it still lives. */
    void updateEntry(HostEntry newEntry) {
        newestEntry = newEntry;
        registered = true;
        adoptNewestEntry();
        if (hasEntryOfPresentProcess()) {
            runs.values().forEach(run -> run.onHostRegistered(newEntry.clockMilliseconds()));
        }
    }

    private void adoptNewestEntry() {
        if (repliedThisTerm && !hasEntryOfPresentProcess()) {
            return;
        }
        boolean isSameProcess = newestEntry.bornMilliseconds() == entry.bornMilliseconds();
        if (isSameProcess && !newestEntry.service().equals(entry.service())) {
            Set<String> extended = new HashSet<>(formerServices);
            extended.add(entry.service());
            formerServices = Set.copyOf(extended);
        }
        entry = newestEntry;
    }

    /**
     * Returns whether the newest registry entry is that of the process that replies. A host that restarts under its
     * identifier may have another service, other labels and another capacity than before.
     */
    boolean hasEntryOfPresentProcess() {
        return repliedThisTerm && newestEntry.bornMilliseconds() == processStartMilliseconds;
    }

    /** Returns the services besides that of its entry of whose jobs it may have runs or ends. */
    Set<String> findFormerServices() {
        if (!formerServices.contains(entry.service())) {
            return formerServices;
        }
        Set<String> others = new HashSet<>(formerServices);
        others.remove(entry.service());
        return others;
    }

    /** Returns whether a reply comes from another process than the earlier ones of this term. */
    boolean hasOtherProcess(HostListing listing) {
        return repliedThisTerm && listing.bornMilliseconds() != processStartMilliseconds;
    }

    /** Returns whether the reply to an order is handled so late that it tells nothing of the present. */
    static boolean isLate(long sentAt, long now) {
        return now - sentAt >= UNREACHABLE_AFTER_MILLISECONDS;
    }

    /** Returns whether the known process made a list before the last one that was applied, which overtook it. */
    boolean isOvertaken(HostListing listing) {
        return repliedThisTerm
                && listing.bornMilliseconds() == processStartMilliseconds
                && listing.clockMilliseconds() < listedAtClock;
    }

    /** Returns whether its end is planned: its machine was ordered to go, or it has announced that it leaves. */
    boolean isLeavingByPlan() {
        return leaving || entry.draining();
    }

    /** Lets other starts use the host again, as it has outlived a run's start, unless the run needs it for itself. */
    void endIsolation(WorkRun run) {
        if (isolatedStart != null && isolatedStart.run == run && !run.task.crashes.needsOwnHost()) {
            isolatedStart.task.isolatedStart = null;
            isolatedStart = null;
        }
    }

    /** Records the clock and the incarnation in a reply; returns whether the host has restarted. */
    boolean applyListing(HostListing listing, long now) {
        boolean restarted = hasOtherProcess(listing);
        boolean isNewProcess = restarted || !repliedThisTerm;
        if (restarted) {
            formerServices = Set.of();
            highestDeadline = 0;
            highestEndNumber = 0;
            acknowledgedEndNumber = 0;
        }
        hasFurtherEnds = listing.hasFurtherEnds();
        repliedThisTerm = true;
        incarnationUnknown = false;
        processStartMilliseconds = listing.bornMilliseconds();
        adoptNewestEntry();
        if (isNewProcess || listing.clockMilliseconds() >= clockReading) {
            clockReading = listing.clockMilliseconds();
            clockReadAt = now;
        }
        listedAtClock = listing.clockMilliseconds();
        lastReplyAt = now;
        heardSince = restarted ? now : Math.min(heardSince, now);
        onReply(now);
        return restarted;
    }

    /**
     * Records the host's clock in a reply to an order, which is as good a proof as a list. Such a reply does not name
     * the process: a clock that is behind the least that the known process can have reached is that of a new one, which
     * has to list its runs first.
     *
     * @param reading the clock in milliseconds
     * @param sentAt monotonic time in milliseconds at which the order was sent
     */
    void readClock(long reading, long sentAt, long now) {
        if (!repliedThisTerm || incarnationUnknown) {
            return;
        }
        if (sentAt > clockReadAt && reading < clockReading + SchedulingTerms.longestLease(sentAt - clockReadAt)) {
            incarnationUnknown = true;
        } else if (reading > clockReading) {
            clockReading = reading;
            clockReadAt = now;
            lastReplyAt = now;
        }
    }

    /**
     * Grants a lease, and records the latest expiry granted. The lease has expired for certain by the horizon, which
     * counts from the sending of the last confirmed record of the leader and from the last reply of the host, whichever
     * is earlier. So it becomes shorter as either of them becomes older.
     *
     * @param confirmedAt monotonic time in milliseconds at which the last confirmed record was sent
     * @return expiry in milliseconds of the host's clock; empty when the horizon leaves no time
     */
    OptionalLong grantLease(SchedulingTerms terms, long confirmedAt, long now) {
        long readingAge = now - clockReadAt;
        long horizonEnd = Math.min(confirmedAt, clockReadAt) + terms.leaseHorizonMilliseconds();
        long lease = Math.min(
                readingAge + terms.leaseMilliseconds(), SchedulingTerms.longestLease(horizonEnd - clockReadAt));
        if (lease <= readingAge) {
            return OptionalLong.empty();
        }
        recordLease(lease);
        return OptionalLong.of(clockReading + lease);
    }

    /**
     * Records a lease that the host may have.
     *
     * @param milliseconds its length from the last reading of the host's clock, in milliseconds of that clock
     */
    void recordLease(long milliseconds) {
        highestDeadline = Math.max(highestDeadline, clockReading + milliseconds);
    }

    /** Returns the monotonic time of this process in milliseconds at which all leases have expired for certain. */
    long leaseExpiresAt() {
        return clockReadAt + Math.round((highestDeadline - clockReading) / SchedulingTerms.SLOWEST_CLOCK_RATE) + 1;
    }

    /**
     * Returns the monotonic time in milliseconds up to which a successor has to wait for the host if it falls silent:
     * its lease, also of an earlier term, keeps ends on it that are not in the store.
     */
    long claimedUntil() {
        return hasStoredAllEnds() ? leaseExpiresAt() : Math.max(leaseExpiresAt(), earlierLeaseExpiresAt);
    }

    /** Returns whether the host has not replied for so long that it gets no work and no lease extension. */
    boolean isUnreachable(long now) {
        return now - lastReplyAt >= UNREACHABLE_AFTER_MILLISECONDS;
    }

    boolean hasRepliedSince(long time) {
        return repliedThisTerm && lastReplyAt >= time;
    }

    /** Returns whether the host may get leases: it replies, and no stored announcement tells a successor otherwise. */
    boolean canReceiveLease(long now) {
        return repliedThisTerm && !isUnreachable(now) && announcedUnreachableIn == NOT_ANNOUNCED_UNREACHABLE;
    }

    /** Returns whether the host replies, and only a stored announcement tells a successor that it does not. */
    boolean isWaitingForAnnouncement(long now) {
        return repliedThisTerm && !isUnreachable(now) && announcedUnreachableIn != NOT_ANNOUNCED_UNREACHABLE;
    }

    /**
     * Returns whether runs may be ordered. A host that may have restarted must reply first: a deadline by the clock of
     * its former process could lie far ahead on the new one, where a delayed order would start a run after its lease
     * has expired here. Then its entry must have been read, as that of its former process says nothing of the new one.
     */
    boolean canAcceptWork(long now) {
        return isUsable(now) && !cordoned && now >= clearedUntil && now >= backoffUntil;
    }

    /**
     * Returns whether runs of long-running tasks may be ordered that find no other host. Then a cordon, the pause of a
     * cleared host and a long back-off give way, as they only say that other hosts are better.
     */
    boolean canAcceptWorkAsLastResort(long now) {
        return isUsable(now) && now >= Math.min(backoffUntil, backoffStartedAt + LAST_RESORT_BACKOFF_MILLISECONDS);
    }

    private boolean isUsable(long now) {
        return registered
                && !incarnationUnknown
                && hasEntryOfPresentProcess()
                && canReceiveLease(now)
                && !entry.draining()
                && !leaving
                && now >= excludedUntil;
    }

    /** Returns whether all ends on the host are listed and in the store; otherwise they are lost when it leaves. */
    boolean hasStoredAllEnds() {
        return !hasFurtherEnds && acknowledgedEndNumber >= highestEndNumber;
    }

    /** Adds a run that takes capacity from now on. */
    void addRun(WorkRun run) {
        WorkRun previous = runs.put(run.key, run);
        if (previous == null) {
            takenCapacity = takenCapacity.plus(run.task.step.requiredCapacity);
            run.task.step.job.usage.add(run.task.step.job.submission.service(), run.task.step.declaredCapacity);
            longRunningRuns += run.task.step.specification.longRunning() ? 1 : 0;
            spareCapacityRuns += run.task.step.specification.usesSpareCapacity() ? 1 : 0;
        }
    }

    /** Removes a run that takes no capacity any more; returns null when there is no such run. */
    @Nullable WorkRun removeRun(RunKey key) {
        WorkRun run = runs.remove(key);
        if (run != null) {
            takenCapacity = takenCapacity.minus(run.task.step.requiredCapacity);
            run.task.step.job.usage.remove(run.task.step.job.submission.service(), run.task.step.declaredCapacity);
            if (isolatedStart != null && isolatedStart.run == run) {
                isolatedStart.task.isolatedStart = null;
                isolatedStart = null;
            }
            longRunningRuns -= run.task.step.specification.longRunning() ? 1 : 0;
            spareCapacityRuns -= run.task.step.specification.usesSpareCapacity() ? 1 : 0;
        }
        return run;
    }

    boolean hasLongRunningRun() {
        return longRunningRuns > 0;
    }

    boolean hasShortRun() {
        return runs.size() > longRunningRuns;
    }

    boolean hasSpareCapacityRun() {
        return spareCapacityRuns > 0;
    }

    /** Returns whether a task waits for the next list, to run elsewhere after an order without an outcome. */
    boolean hasRunWaitingForList() {
        return runs.values().stream().anyMatch(WorkRun::isWaitingForList);
    }

    /** Sets the capacity of the runs in the last list that this term does not keep; they take it until they end. */
    void setOrphanedCapacity(HostCapacity capacity) {
        orphanedCapacity = capacity;
    }

    /**
     * Counts the active runs in the last list that this term does not keep to their accounts, until they have ended.
     */
    void setOrphansOfAccounts(List<WorkStep> orphans, SchedulingTerms terms) {
        releaseOrphansOfAccounts();
        for (WorkStep step : orphans) {
            step.job.usage.add(step.job.submission.service(), step.declaredCapacity);
        }
        orphansOfAccounts = List.copyOf(orphans);
        orphansExpireAt = clockReadAt
                + Math.round(terms.longestAdoptedLeaseMilliseconds() / SchedulingTerms.SLOWEST_CLOCK_RATE)
                + 1;
    }

    /** Counts no run that this term does not keep any more, as none of them can be active. */
    void releaseOrphansOfAccounts() {
        for (WorkStep step : orphansOfAccounts) {
            step.job.usage.remove(step.job.submission.service(), step.declaredCapacity);
        }
        orphansOfAccounts = List.of();
    }

    /** Returns whether runs that this term does not keep count to accounts. */
    boolean hasOrphansOfAccounts() {
        return !orphansOfAccounts.isEmpty();
    }

    /** Returns the monotonic time in milliseconds at which the runs that this term does not keep have no lease. */
    long orphansExpireAt() {
        return Math.max(orphansExpireAt, leaseExpiresAt());
    }

    /** Returns the capacity that no run takes, which is negative where the capacity has become smaller. */
    HostCapacity freeCapacity() {
        return entry.capacity().minus(takenCapacity).minus(orphanedCapacity);
    }

    void countFailure(long now) {
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
            int exponent = Math.min(MAX_BACKOFF_EXPONENT, consecutiveFailures - FAILURES_BEFORE_BACKOFF);
            backoffStartedAt = now;
            backoffUntil = Math.max(backoffUntil, now + (INITIAL_BACKOFF_MILLISECONDS << exponent));
        }
    }

    void countSuccess() {
        consecutiveFailures = 0;
    }

    /**
     * Returns the monotonic time in milliseconds until which the host gets no work after failures, or to keep it clear.
     */
    long excludedUntil() {
        return Math.max(excludedUntil, Math.max(backoffUntil, clearedUntil));
    }

    /** Excludes a host that has rejected a run. */
    void excludeUntil(long time) {
        excludedUntil = Math.max(excludedUntil, time);
    }

    /** Keeps the capacity free of which runs were cleared, so that the machine of the host can leave. */
    void keepClearedUntil(long time) {
        clearedUntil = Math.max(clearedUntil, time);
    }
}
