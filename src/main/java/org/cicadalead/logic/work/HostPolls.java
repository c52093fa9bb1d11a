package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which hosts are polled, when, and with which lease. The lease of a host is renewed often enough that it lasts
 * while the host is out of reach for a time, and a host that is back is heard soon. Not thread-safe.
 */
final class HostPolls {
    /** Wait of a poll while the host has only long-running runs, so that leases are renewed well before they expire. */
    private static final long BUSY_POLL_WAIT_MILLISECONDS = 1_000;

    /**
     * Wait of a poll while the host has short runs. A poll whose reply is lost delays the end of a run, and with it the
     * next step of a job, by this wait and the timeout margin.
     */
    private static final long SHORT_RUN_POLL_WAIT_MILLISECONDS = 300;

    /** Wait of a poll while a task waits for the list that tells that its run did not start. */
    private static final long OUTCOME_POLL_WAIT_MILLISECONDS = 100;

    /** Wait of a poll while the host has no runs: the maximum that a host accepts, less the network delay. */
    private static final long IDLE_POLL_WAIT_MILLISECONDS = 1_500;

    /**
     * Interval between polls of a silent host that may have runs, so that it costs no more calls than one that replies.
     */
    private static final long SILENT_POLL_INTERVAL_MILLISECONDS = SHORT_RUN_POLL_WAIT_MILLISECONDS;

    /** Time before the end of the wait for a silent host at which the last poll is sent that counts. */
    private static final long LAST_POLL_LEAD_MILLISECONDS = 10;

    private final WorkState state;
    private final TakeoverGate takeoverGate;

    HostPolls(WorkState state, TakeoverGate takeoverGate) {
        this.state = state;
        this.takeoverGate = takeoverGate;
    }

    /**
     * Creates the next poll of a host, extending its lease as far as the age of the last confirmed record permits;
     * empty once the host need not be polled.
     *
     * @param unconfirmedMilliseconds time since the last confirmed record of the leader was sent
     */
    Optional<HostPollRequest> create(String identifier, WorkTime now, long unconfirmedMilliseconds) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null || !needsPolls(host)) {
            return Optional.empty();
        }
        // Also when this process was suspended: the host may have restarted since.
        host.incarnationUnknown |= host.isUnreachable(now.monotonic());
        boolean isBusy = !host.runs.isEmpty();
        state.updateConfirmation(now.monotonic(), unconfirmedMilliseconds);
        boolean renewsLease =
                state.isAnnounced() && isBusy && !host.incarnationUnknown && host.canReceiveLease(now.monotonic());
        OptionalLong deadline = renewsLease ? state.grantLease(host, now.monotonic()) : OptionalLong.empty();
        // A restarted host numbers its ended runs from the beginning. An acknowledgement of numbers of the previous
        // incarnation would discard ends that are not stored yet.
        long acknowledged = host.incarnationUnknown ? 0 : host.acknowledgedEndNumber;
        long wait = pollWait(host);
        WorkOrder.HostTarget target = new WorkOrder.HostTarget(host.identifier, host.beginPoll(wait, now.monotonic()));
        return Optional.of(
                new HostPollRequest(target, deadline, acknowledged, wait, repeatPollAfter(host, now.monotonic())));
    }

    /**
     * Returns after which time in milliseconds a host is polled again although it has not replied. A silent host that
     * may have runs is heard soon after it is back, also if that is just before the wait for it ends.
     */
    private OptionalLong repeatPollAfter(WorkHost host, long now) {
        boolean isSilent = !host.repliedThisTerm || host.incarnationUnknown;
        boolean mayHaveRuns = !host.runs.isEmpty() || takeoverGate.isAwaited(host.identifier);
        if (!isSilent || !mayHaveRuns) {
            return OptionalLong.empty();
        }
        long untilLastPoll = host.awaitedUntil(state.terms) - LAST_POLL_LEAD_MILLISECONDS - now;
        return OptionalLong.of(
                untilLastPoll > 0
                        ? Math.min(untilLastPoll, SILENT_POLL_INTERVAL_MILLISECONDS)
                        : SILENT_POLL_INTERVAL_MILLISECONDS);
    }

    /** Records that a poll has a reply, or none within its time limit. */
    void onEnded(String identifier, long sentAt) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.endPoll(sentAt);
        }
    }

    /**
     * Returns whether a host is to be polled again before it replies to the poll in flight, which was sent when it had
     * no runs or only such as need less frequent polls, and renews its lease too late for the present ones.
     */
    boolean isDue(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        return host != null && !host.runs.isEmpty() && host.isPolledWithLongerWait(pollWait(host));
    }

    /** Returns for how many milliseconds a host may wait for an end before it replies to its next poll. */
    private static long pollWait(WorkHost host) {
        if (!host.repliedThisTerm || host.incarnationUnknown) {
            return 0;
        }
        if (host.hasRunWaitingForList() || host.isolatedStart != null) {
            return OUTCOME_POLL_WAIT_MILLISECONDS;
        }
        if (host.hasShortRun()) {
            return SHORT_RUN_POLL_WAIT_MILLISECONDS;
        }
        return host.runs.isEmpty() ? IDLE_POLL_WAIT_MILLISECONDS : BUSY_POLL_WAIT_MILLISECONDS;
    }

    /** Returns the identifiers of all hosts to poll. */
    Set<String> findHosts() {
        Set<String> hosts = new HashSet<>();
        for (WorkHost host : state.hosts.values()) {
            if (needsPolls(host)) {
                hosts.add(host.identifier);
            }
        }
        return hosts;
    }

    private boolean needsPolls(WorkHost host) {
        return host.registered || !host.runs.isEmpty() || takeoverGate.isPartlyListed(host.identifier);
    }
}
