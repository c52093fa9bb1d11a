package org.cicadalead.ports;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/** Exchanges calls between entry processes. Implementations are safe for use by several threads. */
public interface PeerChannel {
    /** Registers the handler of calls on a topic; it must not block. */
    void registerHandler(PeerTopic topic, CallHandler handler);

    /**
     * Calls another process. The result completes exceptionally with a
     * {@link org.cicadalead.model.error.CicadaleadException} of kind {@code NO_UPSTREAM} when the call was not sent, or
     * {@code OUTCOME_UNKNOWN} when it may have arrived.
     */
    CompletableFuture<byte[]> call(ProcessIdentifier peer, PeerTopic topic, byte[] payload, Duration timeout);

    /** Adds a small part to every heartbeat of this process; the supplier is called for each heartbeat. */
    void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part);

    /** Returns the part that another process added to its newest heartbeat. */
    Optional<byte[]> findNewestPart(ProcessIdentifier peer, PeerTopic topic);

    /** Returns the known other processes, ordered by identifier. */
    List<PeerStatus> peers();

    /** Handles calls on one topic. */
    @FunctionalInterface
    interface CallHandler {
        /** Handles one call and returns the future reply; must not block. */
        CompletableFuture<byte[]> handle(ProcessIdentifier caller, byte[] payload);
    }

    /**
     * Another process, as observed by this one.
     *
     * @param process the process
     * @param zone its availability zone
     * @param appliedOffset offset of its shared state, according to its newest heartbeat
     * @param reachable whether its heartbeats arrive in time
     */
    record PeerStatus(ProcessIdentifier process, ZoneName zone, long appliedOffset, boolean reachable) {}
}
