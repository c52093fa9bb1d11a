package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.logic.request.SlotShares;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/**
 * The slots of every worker, kept to the shares that membership gives. Without other processes to talk to, a process
 * uses {@link #SLOTS_WITHOUT_PEERS} of each worker, which is safe for as many processes as a worker has slots. Safe for
 * use by several threads.
 */
final class SlotBook {
    /** Slots of a worker that a process uses when it cannot know who else does. */
    static final int SLOTS_WITHOUT_PEERS = 1;

    /** Time for which a slot is lent at most. */
    static final Duration LOAN_TIME = Duration.ofSeconds(2);

    private final RequestPorts ports;
    private final Map<HostName, HostRuntime> runtimes = new ConcurrentHashMap<>();
    private final SlotShares shares;
    private final AtomicReference<SlotReport> report = new AtomicReference<>(new SlotReport(0, false));
    private volatile boolean idle;
    private SharedState applied = SharedState.empty();

    SlotBook(RequestPorts ports) {
        this.ports = ports;
        this.shares = new SlotShares(ports.process());
        ports.peers().ifPresent(peers -> peers.contribute(PeerTopic.SLOT, () -> report.get()
                .encode()));
    }

    HostRuntime runtime(HostName host) {
        return runtimes.computeIfAbsent(host, HostRuntime::new);
    }

    /** Says that this process places no work any more. */
    void setIdle() {
        idle = true;
    }

    /** Brings the shares up to the newest state and to what the other processes report. */
    synchronized void refresh(SharedState state, long now) {
        boolean membersChanged = applied.members() != state.members();
        boolean fleetChanged = applied.configuration() != state.configuration();
        boolean changed = membersChanged || fleetChanged;
        if (changed) {
            shares.update(state, this::departedIdle, quarantine(state), now);
        }
        applied = state;
        if (shares.confirm(this::reportedOffset, now) || changed) {
            setOwned(state);
        }
        if (isDrained(now)) {
            report.set(new SlotReport(state.offset(), idle));
        }
    }

    private void setOwned(SharedState state) {
        for (HostDefinition host : state.configuration().merged().hosts().values()) {
            int owned = ports.peers().isPresent()
                    ? shares.owned(host)
                    : Math.min(SLOTS_WITHOUT_PEERS, host.slots());
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
        return newestReport(process).map(SlotReport::drainedOffset).orElse(0L);
    }

    private boolean departedIdle(ProcessIdentifier process) {
        return newestReport(process).map(SlotReport::idle).orElse(false);
    }

    private Optional<SlotReport> newestReport(ProcessIdentifier process) {
        Optional<PeerChannel> peers = ports.peers();
        return peers.flatMap(channel -> channel.newestPart(process, PeerTopic.SLOT))
                .flatMap(SlotReport::decode);
    }

    /** A request of a departed process ends within its timeout; what it was lent, a loan's time later. */
    private static Duration quarantine(SharedState state) {
        Duration longest = Duration.ZERO;
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            longest = longest.compareTo(service.timeout()) < 0 ? service.timeout() : longest;
        }
        return longest.plus(LOAN_TIME);
    }
}
