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
 * The slots of every worker, kept to the shares that membership gives. Without other processes to talk to, a process
 * uses {@link #SLOTS_WITHOUT_PEERS} of each worker, which is safe for as many processes as a worker has slots. Safe for
 * use by several threads.
 */
final class SlotTable {
    /** Slots of a worker that a process uses when it cannot know who else does. */
    static final int SLOTS_WITHOUT_PEERS = 1;

    /** Time for which a slot is lent at most. */
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
        HostRuntime held = runtimes.get(host);
        return held != null ? held : runtimes.computeIfAbsent(host, HostRuntime::new);
    }

    /** Returns the newest offset whose shares are kept to. */
    long drainedOffset() {
        return drainedOffset.get();
    }

    /** Takes another process's report. */
    void onReport(ProcessIdentifier process, long offset) {
        reportedOffsets.merge(process, offset, Math::max);
    }

    /** Takes another process's word that it places no work any more. */
    void onIdle(ProcessIdentifier process) {
        idleProcesses.add(process);
    }

    /** Returns the processes whose reports are waited for. */
    synchronized Set<ProcessIdentifier> findAwaitedProcesses() {
        return shares.findAwaitedProcesses(this::reportedOffset);
    }

    /** Returns the processes that own slots in a zone. */
    synchronized List<ProcessIdentifier> owners(ZoneName zone) {
        return shares.owners(zone);
    }

    /** Tells whether this process has its full share of the workers of a zone. */
    synchronized boolean isConfirmed(ZoneName zone) {
        return !hasPeers || shares.isConfirmed(zone);
    }

    /** Brings the shares up to the newest state and to what the other processes report; true when one changed. */
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
     * Time after which the slots of a process that was removed are used again: its requests have ended, or their
     * workers have noticed that its connections are gone, and what it was lent is over.
     */
    static Duration computeQuarantine(SharedState state) {
        Duration longest = Duration.ZERO;
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            longest = longest.compareTo(service.timeout()) < 0 ? service.timeout() : longest;
        }
        Duration waited = longest.compareTo(MAX_QUARANTINE) < 0 ? longest : MAX_QUARANTINE;
        return waited.plus(LOAN_DURATION);
    }

    /** The parts of the shared state are persistent, so that an unchanged one is the same object. */
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
