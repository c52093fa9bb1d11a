package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.logic.request.SlotShares;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/**
 * Keeps the slots of every worker within the shares that the membership assigns to this process. Without a channel to
 * other processes, a process uses {@link #SLOTS_WITHOUT_PEERS} of each worker, which is safe for as many processes as a
 * worker has slots. Safe for use by several threads.
 */
final class SlotTable {
    /** Number of slots of a worker that a process uses when it cannot communicate with the other processes. */
    static final int SLOTS_WITHOUT_PEERS = 1;

    /** Maximum time for which a slot is lent. */
    static final Duration LOAN_DURATION = Duration.ofSeconds(2);

    private static final Duration MAX_QUARANTINE = Duration.ofSeconds(10);

    private final boolean hasPeers;
    private final Map<HostName, HostRuntime> runtimes = new ConcurrentHashMap<>();
    private final Map<ProcessIdentifier, Long> reportedOffsets = new ConcurrentHashMap<>();
    private final Set<ProcessIdentifier> idleProcesses = ConcurrentHashMap.newKeySet();
    private final AtomicLong drainedOffset = new AtomicLong();
    private final SlotShares shares;
    private SharedState appliedState = SharedState.empty();

    SlotTable(ProcessIdentifier self, boolean hasPeers) {
        this.hasPeers = hasPeers;
        this.shares = new SlotShares(self);
    }

    HostRuntime runtime(HostName host) {
        HostRuntime existing = runtimes.get(host);
        return existing != null ? existing : runtimes.computeIfAbsent(host, HostRuntime::new);
    }

    /** Returns the newest offset whose shares are applied, without any slot in use above them. */
    long drainedOffset() {
        return drainedOffset.get();
    }

    /** Records the report of another process. */
    void onReport(ProcessIdentifier process, long offset) {
        reportedOffsets.merge(process, offset, Math::max);
    }

    /** Records that another process has announced that it places no more work. */
    void onIdle(ProcessIdentifier process) {
        idleProcesses.add(process);
    }

    /** Returns the processes whose reports are still missing. */
    synchronized Set<ProcessIdentifier> findAwaitedProcesses() {
        return shares.findAwaitedProcesses(this::reportedOffset);
    }

    /** Returns the processes that own slots in a zone. */
    synchronized List<ProcessIdentifier> owners(ZoneName zone) {
        return shares.owners(zone);
    }

    /** Returns whether the shares of this process in a zone are confirmed. */
    synchronized boolean isConfirmed(ZoneName zone) {
        return !hasPeers || shares.isConfirmed(zone);
    }

    /**
     * Updates the shares to the newest state and the reports of the other processes; returns true when the members, the
     * configuration or a share changed.
     */
    synchronized boolean refresh(SharedState state, long now) {
        boolean changed = hasChanged(state);
        if (changed) {
            shares.update(state, idleProcesses::contains, computeQuarantine(state), now);
            reportedOffsets.keySet().retainAll(state.members().keySet());
        }
        appliedState = state;
        boolean confirmed = shares.confirm(this::reportedOffset, now);
        if (confirmed || changed) {
            updateOwnedSlots(state);
        }
        if (isDrained(now)) {
            drainedOffset.set(state.offset());
        }
        return confirmed || changed;
    }

    /**
     * Returns the time after which the slots of a removed process are used again. By then its requests have ended, or
     * their workers have noticed that its connections are closed, and its loans have expired.
     */
    static Duration computeQuarantine(SharedState state) {
        Duration maximumTimeout = Duration.ZERO;
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            maximumTimeout = maximumTimeout.compareTo(service.timeout()) < 0 ? service.timeout() : maximumTimeout;
        }
        Duration limitedTimeout = maximumTimeout.compareTo(MAX_QUARANTINE) < 0 ? maximumTimeout : MAX_QUARANTINE;
        return limitedTimeout.plus(LOAN_DURATION);
    }

    /**
     * Compares by reference, as the parts of the shared state are persistent and an unchanged part is the same object.
     */
    @SuppressWarnings("ReferenceEquality")
    private boolean hasChanged(SharedState state) {
        return appliedState.members() != state.members() || appliedState.configuration() != state.configuration();
    }

    private void updateOwnedSlots(SharedState state) {
        for (HostDefinition host : state.configuration().merged().hosts().values()) {
            int owned = hasPeers ? shares.countOwnedSlots(host) : Math.min(SLOTS_WITHOUT_PEERS, host.slots());
            runtime(host.name()).slots().setOwned(owned);
        }
        runtimes.forEach((name, runtime) -> {
            if (!state.configuration().merged().hosts().containsKey(name)) {
                runtime.slots().setOwned(0);
            }
        });
    }

    private boolean isDrained(long now) {
        return shares.isQuarantineOver(now)
                && runtimes.values().stream()
                        .allMatch(runtime -> runtime.slots().counts().free() >= 0);
    }

    private long reportedOffset(ProcessIdentifier process) {
        return reportedOffsets.getOrDefault(process, 0L);
    }
}
