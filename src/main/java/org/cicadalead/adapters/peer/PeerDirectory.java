package org.cicadalead.adapters.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListMap;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.ports.PeerTopic;

/**
 * Directory of the other processes that this process knows: from the log, from their heartbeats and from news that
 * third processes relay. News of a process is applied only if its heartbeat number is above the last known one, so that
 * neither a late frame nor a third process can make a failed process appear reachable. Safe for use by several threads.
 */
final class PeerDirectory {
    /** A linked peer is considered unreachable when no heartbeat was received from it for this long. */
    static final Duration DIRECT_REACHABILITY_TIMEOUT = Duration.ofSeconds(15);

    /**
     * A peer whose heartbeats only other processes receive is considered unreachable when none of them received a
     * heartbeat for this long.
     */
    static final Duration INDIRECT_REACHABILITY_TIMEOUT = Duration.ofSeconds(40);

    private static final Duration FORGET_TIMEOUT = Duration.ofMinutes(5);

    private final ProcessIdentifier self;
    private final Map<ProcessIdentifier, KnownPeer> peers = new ConcurrentSkipListMap<>();

    PeerDirectory(ProcessIdentifier self) {
        this.self = self;
    }

    /** Returns all known processes except this one, ordered by identifier. */
    List<KnownPeer> findAll() {
        return List.copyOf(peers.values());
    }

    Optional<KnownPeer> find(ProcessIdentifier process) {
        return Optional.ofNullable(peers.get(process));
    }

    /** Adds the members in the log, and removes processes that are not members and have not been observed recently. */
    void updateMembers(Collection<Member> members, long now) {
        Set<ProcessIdentifier> memberProcesses = new HashSet<>();
        for (Member member : members) {
            memberProcesses.add(member.process());
            addIfUnknown(new PeerIdentity(member.process(), member.zone(), member.peerAddress()), now);
        }
        peers.values()
                .removeIf(peer -> !memberProcesses.contains(peer.identity().process()) && peer.canBeForgotten(now));
    }

    /** Adds a process without a heartbeat, unless it is known already. */
    void addIfUnknown(PeerIdentity identity, long now) {
        if (!identity.process().equals(self)) {
            peers.computeIfAbsent(identity.process(), absent -> KnownPeer.withoutHeartbeat(identity, now));
        }
    }

    /** Handles a heartbeat received from the process itself. */
    void onHeartbeat(PeerIdentity identity, PeerMessage.Heartbeat heartbeat, long now) {
        addIfUnknown(identity, now);
        peers.computeIfPresent(identity.process(), (process, peer) -> peer.withHeartbeat(heartbeat, now));
    }

    /**
     * Records that the last connection to a process was closed. A linked process is unreachable until its next
     * heartbeat.
     */
    void onDisconnected(ProcessIdentifier process, long now) {
        peers.computeIfPresent(process, (key, peer) -> peer.withDisconnection(now));
    }

    /** Handles news of a process that a third process relayed. */
    void onNews(ProcessIdentifier process, PeerMessage.PeerNews news, long now) {
        peers.computeIfPresent(process, (key, peer) -> peer.withNews(news, now));
    }

    /** Returns the availability zones with a reachable process. */
    List<ZoneName> reachableZones(long now) {
        Set<ZoneName> zones = new TreeSet<>();
        peers.values().stream().filter(peer -> peer.isReachable(now)).forEach(peer -> zones.add(peer.zone()));
        return List.copyOf(zones);
    }

    /** Returns whether a process with this address is known and reachable. */
    boolean isReachableAt(NetworkAddress address, long now) {
        return peers.values().stream()
                .anyMatch(peer -> peer.identity().address().equals(address) && peer.isReachable(now));
    }

    /**
     * What is known about a process. Immutable.
     *
     * @param identity identity of the process
     * @param sequence number of its newest known heartbeat; 0 if none is known
     * @param appliedOffset offset of its shared state
     * @param addedAt when it was added, in monotonic nanoseconds
     * @param lastHeardAt when its newest known heartbeat was received by any process, in monotonic nanoseconds
     * @param isDirect whether this process receives its heartbeats directly
     * @param parts the parts of its newest heartbeat received directly
     * @param zones availability zones that it reports as reachable
     */
    record KnownPeer(
            PeerIdentity identity,
            long sequence,
            long appliedOffset,
            long addedAt,
            long lastHeardAt,
            boolean isDirect,
            Map<PeerTopic, byte[]> parts,
            List<ZoneName> zones) {
        static KnownPeer withoutHeartbeat(PeerIdentity identity, long now) {
            return new KnownPeer(identity, 0, 0, now, now, false, Map.of(), List.of());
        }

        ProcessIdentifier process() {
            return identity.process();
        }

        ZoneName zone() {
            return identity.zone();
        }

        boolean isReachable(long now) {
            Duration limit = isDirect ? DIRECT_REACHABILITY_TIMEOUT : INDIRECT_REACHABILITY_TIMEOUT;
            return sequence > 0 && now - lastHeardAt < limit.toNanos();
        }

        boolean canBeForgotten(long now) {
            return now - lastHeardAt >= FORGET_TIMEOUT.toNanos();
        }

        KnownPeer withHeartbeat(PeerMessage.Heartbeat heartbeat, long now) {
            if (heartbeat.sequence() < sequence) {
                return this;
            }
            Map<PeerTopic, byte[]> newestParts = new EnumMap<>(PeerTopic.class);
            newestParts.putAll(heartbeat.parts());
            return new KnownPeer(
                    identity,
                    heartbeat.sequence(),
                    Math.max(appliedOffset, heartbeat.appliedOffset()),
                    addedAt,
                    now,
                    true,
                    newestParts,
                    heartbeat.zones().orElse(zones));
        }

        KnownPeer withDisconnection(long now) {
            if (!isDirect) {
                return this;
            }
            long unreachableSince = Math.min(lastHeardAt, now - DIRECT_REACHABILITY_TIMEOUT.toNanos());
            return new KnownPeer(identity, sequence, appliedOffset, addedAt, unreachableSince, true, parts, zones);
        }

        KnownPeer withNews(PeerMessage.PeerNews news, long now) {
            if (news.sequence() <= sequence) {
                return this;
            }
            long receivedAt =
                    now - Duration.ofMillis(Math.max(0, news.ageMilliseconds())).toNanos();
            return new KnownPeer(
                    identity,
                    news.sequence(),
                    Math.max(appliedOffset, news.appliedOffset()),
                    addedAt,
                    sequence == 0 ? receivedAt : Math.max(lastHeardAt, receivedAt),
                    isDirect && now - lastHeardAt < DIRECT_REACHABILITY_TIMEOUT.toNanos(),
                    parts,
                    zones);
        }
    }
}
