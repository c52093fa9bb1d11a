package org.cicadalead.adapters.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadalead.logic.membership.LinkPlan;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.ports.PeerTopic;

/**
 * Sends heartbeats over the links of a {@link LinkPlan} and handles received ones. In each period one of the heartbeats
 * carries news of other processes, so that every process learns of every other one while the traffic does not grow with
 * the square of the number of members. {@link #planLinks} and {@link #sendHeartbeats} are called by the timer's thread;
 * all other methods are safe for use by several threads.
 */
final class HeartbeatSender {
    /** Period of heartbeats within an availability zone. */
    static final Duration PERIOD = Duration.ofSeconds(2);

    /** Number of periods between heartbeats to another availability zone. */
    static final int OTHER_ZONE_HEARTBEAT_INTERVAL = 3;

    /** Number of periods between two heartbeats that list the reachable availability zones. */
    static final int ZONE_LIST_HEARTBEAT_INTERVAL = 5;

    /** Maximum number of processes that one heartbeat carries news of. */
    static final int MAX_NEWS = 40;

    private final PeerIdentity self;
    private final PeerDirectory directory;
    private final LongSupplier appliedOffset;
    private final Supplier<Collection<Member>> members;
    private final PeerCounters counters;
    private final Map<PeerTopic, Supplier<byte[]>> partSuppliers = new ConcurrentHashMap<>();
    private final Map<ProcessIdentifier, Long> heartbeatReceivedAt = new ConcurrentHashMap<>();
    private LinkPlan links = new LinkPlan(new TreeSet<>(), new TreeSet<>());
    private long sequence;
    private int newsCursor;

    HeartbeatSender(
            PeerIdentity self,
            PeerDirectory directory,
            LongSupplier appliedOffset,
            Supplier<Collection<Member>> members,
            PeerCounters counters) {
        this.counters = counters;
        this.self = self;
        this.directory = directory;
        this.appliedOffset = appliedOffset;
        this.members = members;
    }

    void registerPart(PeerTopic topic, Supplier<byte[]> part) {
        partSuppliers.put(topic, part);
    }

    /** Chooses the links again from the processes that are known now. */
    void planLinks(long now) {
        List<LinkPlan.Candidate> candidates = directory.findAll().stream()
                .map(peer -> new LinkPlan.Candidate(peer.process(), peer.zone(), peer.isReachable(now)))
                .toList();
        links = LinkPlan.choose(self.process(), self.zone(), candidates);
    }

    /** Returns the peers that this process keeps a connection to. */
    Set<ProcessIdentifier> plannedLinks() {
        Set<ProcessIdentifier> planned = new TreeSet<>(links.ownZone());
        planned.addAll(links.otherZones());
        return planned;
    }

    /** Sends the heartbeats that are due over the connections of the links. */
    void sendHeartbeats(long now, Function<ProcessIdentifier, Optional<PeerConnection>> connections) {
        sequence++;
        List<ProcessIdentifier> dueLinks = new ArrayList<>(links.ownZone());
        if (sequence % OTHER_ZONE_HEARTBEAT_INTERVAL == 0) {
            dueLinks.addAll(collectOtherZoneLinks(now));
        }
        PeerMessage.Heartbeat heartbeatWithoutNews = createHeartbeat(now, List.of());
        Optional<ProcessIdentifier> newsReceiver =
                dueLinks.isEmpty() ? Optional.empty() : Optional.of(dueLinks.get((int) (sequence % dueLinks.size())));
        for (ProcessIdentifier peer : dueLinks) {
            PeerMessage.Heartbeat heartbeat = newsReceiver.equals(Optional.of(peer))
                    ? createHeartbeat(now, selectNews(peer, now))
                    : heartbeatWithoutNews;
            connections.apply(peer).ifPresent(connection -> {
                connection.markUsed(now);
                connection.send(heartbeat);
            });
        }
    }

    /** Handles a heartbeat received from another process. */
    void onHeartbeat(PeerConnection connection, PeerMessage.Heartbeat heartbeat, long now) {
        PeerIdentity sender = connection.peer().orElseThrow();
        connection.markUsed(now);
        heartbeatReceivedAt.put(sender.process(), now);
        directory.onHeartbeat(sender, heartbeat, now);
        if (heartbeat.news().isEmpty()) {
            return;
        }
        Map<Long, ProcessIdentifier> byVersion = new HashMap<>();
        members.get().forEach(member -> byVersion.put(member.version(), member.process()));
        for (PeerMessage.PeerNews news : heartbeat.news()) {
            news.identity().ifPresent(identity -> directory.addIfUnknown(identity, now));
            Optional.ofNullable(byVersion.get(news.memberVersion()))
                    .or(() -> news.identity().map(PeerIdentity::process))
                    .ifPresent(process -> directory.onNews(process, news, now));
        }
    }

    /** Returns this process's links to other availability zones, and processes there that chose it for a link. */
    private Set<ProcessIdentifier> collectOtherZoneLinks(long now) {
        heartbeatReceivedAt
                .values()
                .removeIf(receivedAt -> now - receivedAt > PeerDirectory.DIRECT_REACHABILITY_TIMEOUT.toNanos());
        Set<ProcessIdentifier> otherZoneLinks = new TreeSet<>(links.otherZones());
        for (ProcessIdentifier peer : heartbeatReceivedAt.keySet()) {
            if (!links.ownZone().contains(peer)) {
                otherZoneLinks.add(peer);
            }
        }
        return otherZoneLinks;
    }

    private PeerMessage.Heartbeat createHeartbeat(long now, List<PeerMessage.PeerNews> news) {
        Map<PeerTopic, byte[]> parts = new EnumMap<>(PeerTopic.class);
        partSuppliers.forEach((topic, part) -> collectPart(topic, part, parts));
        Optional<List<ZoneName>> zones = sequence % ZONE_LIST_HEARTBEAT_INTERVAL == 1
                ? Optional.of(directory.reachableZones(now))
                : Optional.empty();
        return new PeerMessage.Heartbeat(sequence, appliedOffset.getAsLong(), parts, zones, news);
    }

    /** Adds one part. A part whose supplier fails is omitted; the heartbeat is still sent. */
    private void collectPart(PeerTopic topic, Supplier<byte[]> part, Map<PeerTopic, byte[]> parts) {
        try {
            parts.put(topic, part.get());
        } catch (RuntimeException failure) {
            counters.failedParts.increment();
        }
    }

    /** Selects news, in rotation, of processes that send no heartbeats directly to the receiver. */
    private List<PeerMessage.PeerNews> selectNews(ProcessIdentifier receiver, long now) {
        boolean isInOwnZone = links.ownZone().contains(receiver);
        Map<ProcessIdentifier, Long> versions = new HashMap<>();
        members.get().forEach(member -> versions.put(member.process(), member.version()));
        List<PeerDirectory.KnownPeer> candidates = directory.findAll().stream()
                .filter(peer -> peer.isReachable(now) && !peer.process().equals(receiver))
                .filter(peer -> !isInOwnZone || !links.ownZone().contains(peer.process()))
                .sorted(Comparator.comparing(PeerDirectory.KnownPeer::process))
                .toList();
        List<PeerMessage.PeerNews> news = new ArrayList<>();
        for (int count = 0; count < Math.min(MAX_NEWS, candidates.size()); count++) {
            PeerDirectory.KnownPeer peer = candidates.get(Math.floorMod(newsCursor++, candidates.size()));
            long version = versions.getOrDefault(peer.process(), 0L);
            news.add(new PeerMessage.PeerNews(
                    version,
                    version == 0 ? Optional.of(peer.identity()) : Optional.empty(),
                    peer.sequence(),
                    peer.appliedOffset(),
                    Duration.ofNanos(now - peer.lastHeardAt()).toMillis()));
        }
        return news;
    }
}
