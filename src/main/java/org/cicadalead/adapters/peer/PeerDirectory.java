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
 * What this process knows of others: from the log, from their own heartbeats and from what third processes say. News of
 * a process counts only with a heartbeat number above the last one, so that neither a late frame nor a third process
 * can make a dead process look alive. Safe for use by several threads.
 */
final class PeerDirectory {
    /** A linked peer that was not heard for this long does not count as reachable. */
    static final Duration DIRECT_REACHABILITY_TIMEOUT = Duration.ofSeconds(15);

    /** A peer that only others hear, and that none of them heard for this long, does not count as reachable. */
    static final Duration INDIRECT_REACHABILITY_TIMEOUT = Duration.ofSeconds(40);

    private static final Duration FORGET_TIMEOUT = Duration.ofMinutes(5);

    private final ProcessIdentifier self;
    private final Map<ProcessIdentifier, KnownPeer> peers = new ConcurrentSkipListMap<>();

    PeerDirectory(ProcessIdentifier self) {
        this.self = self;
    }

    /** Returns all known processes but this one, ordered by identifier. */
    List<KnownPeer> findAll() {
        return List.copyOf(peers.values());
    }

    Optional<KnownPeer> find(ProcessIdentifier process) {
        return Optional.ofNullable(peers.get(process));
    }

    /** Takes over members of the log, and forgets processes that are no members and were not heard of. */
    void updateMembers(Collection<Member> members, long now) {
        Set<ProcessIdentifier> joined = new HashSet<>();
        for (Member member : members) {
            joined.add(member.process());
            addIfUnknown(new PeerIdentity(member.process(), member.zone(), member.peerAddress()), now);
        }
        peers.values().removeIf(peer -> !joined.contains(peer.identity().process()) && peer.canBeForgotten(now));
    }

    /** Learns that a process exists, without a sign of life. */
    void addIfUnknown(PeerIdentity identity, long now) {
        if (!identity.process().equals(self)) {
            peers.computeIfAbsent(identity.process(), unseen -> KnownPeer.ofUnheard(identity, now));
        }
    }

    /** Takes a heartbeat that came from the process itself. */
    void onHeartbeat(PeerIdentity identity, PeerMessage.Heartbeat heartbeat, long now) {
        addIfUnknown(identity, now);
        peers.computeIfPresent(identity.process(), (process, peer) -> peer.withHeartbeat(heartbeat, now));
    }

    /**
     * Learns that the last connection to a process was closed: a linked one is out of reach until it is heard again.
     */
    void onDisconnected(ProcessIdentifier process, long now) {
        peers.computeIfPresent(process, (unchanged, peer) -> peer.withDisconnection(now));
    }

    /** Takes what a third process says. */
    void onNews(ProcessIdentifier process, PeerMessage.PeerNews news, long now) {
        peers.computeIfPresent(process, (unchanged, peer) -> peer.withNews(news, now));
    }

    /** Returns the availability zones with a process that was heard of in time. */
    List<ZoneName> reachableZones(long now) {
        Set<ZoneName> zones = new TreeSet<>();
        peers.values().stream().filter(peer -> peer.isReachable(now)).forEach(peer -> zones.add(peer.zone()));
        return List.copyOf(zones);
    }

    /** Tells whether a process with this address is known and reachable. */
    boolean isReachableAt(NetworkAddress address, long now) {
        return peers.values().stream()
                .anyMatch(peer -> peer.identity().address().equals(address) && peer.isReachable(now));
    }

    /**
     * A process as it is known. Immutable.
     *
     * @param identity who it is
     * @param sequence number of its newest heartbeat that was heard of; 0 for none
     * @param appliedOffset offset of its shared state
     * @param learnedAt when it was learned of, in monotonic nanoseconds
     * @param heardAt when the newest heartbeat was heard by whoever heard it
     * @param isDirect whether this process heard it itself
     * @param parts what its newest direct heartbeat carried
     * @param zones availability zones that it reaches, by its own word
     */
    record KnownPeer(
            PeerIdentity identity,
            long sequence,
            long appliedOffset,
            long learnedAt,
            long heardAt,
            boolean isDirect,
            Map<PeerTopic, byte[]> parts,
            List<ZoneName> zones) {
        static KnownPeer ofUnheard(PeerIdentity identity, long now) {
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
            return sequence > 0 && now - heardAt < limit.toNanos();
        }

        boolean canBeForgotten(long now) {
            return now - heardAt >= FORGET_TIMEOUT.toNanos();
        }

        KnownPeer withHeartbeat(PeerMessage.Heartbeat heartbeat, long now) {
            if (heartbeat.sequence() < sequence) {
                return this;
            }
            Map<PeerTopic, byte[]> newest = new EnumMap<>(PeerTopic.class);
            newest.putAll(heartbeat.parts());
            return new KnownPeer(
                    identity,
                    heartbeat.sequence(),
                    Math.max(appliedOffset, heartbeat.appliedOffset()),
                    learnedAt,
                    now,
                    true,
                    newest,
                    heartbeat.zones().orElse(zones));
        }

        KnownPeer withDisconnection(long now) {
            if (!isDirect) {
                return this;
            }
            long outOfReach = Math.min(heardAt, now - DIRECT_REACHABILITY_TIMEOUT.toNanos());
            return new KnownPeer(identity, sequence, appliedOffset, learnedAt, outOfReach, true, parts, zones);
        }

        KnownPeer withNews(PeerMessage.PeerNews news, long now) {
            if (news.sequence() <= sequence) {
                return this;
            }
            long heard =
                    now - Duration.ofMillis(Math.max(0, news.ageMilliseconds())).toNanos();
            return new KnownPeer(
                    identity,
                    news.sequence(),
                    Math.max(appliedOffset, news.appliedOffset()),
                    learnedAt,
                    sequence == 0 ? heard : Math.max(heardAt, heard),
                    isDirect && now - heardAt < DIRECT_REACHABILITY_TIMEOUT.toNanos(),
                    parts,
                    zones);
        }
    }
}
