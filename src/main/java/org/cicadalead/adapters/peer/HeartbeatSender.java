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
 * Sends heartbeats over the links of a {@link LinkPlan} and takes those of others. Each beat, one link carries news of
 * other processes, so that everybody hears of everybody while the bytes a second do not grow with the square of the
 * members. {@link #planLinks} and {@link #sendHeartbeats} are called by the timer's thread; the rest is safe for use by
 * several threads.
 */
final class HeartbeatSender {
    /** Time between heartbeats inside an availability zone. */
    static final Duration PERIOD = Duration.ofSeconds(2);

    /** Beats between heartbeats to another availability zone. */
    static final int OTHER_ZONE_HEARTBEAT_INTERVAL = 3;

    /** Beats between two that name the reachable availability zones. */
    static final int ZONE_LIST_HEARTBEAT_INTERVAL = 5;

    /** Most processes that one heartbeat brings news of. */
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

    /** Chooses the links anew. */
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

    /** Sends what is due over the connections of the links. */
    void sendHeartbeats(long now, Function<ProcessIdentifier, Optional<PeerConnection>> connections) {
        sequence++;
        List<ProcessIdentifier> due = new ArrayList<>(links.ownZone());
        if (sequence % OTHER_ZONE_HEARTBEAT_INTERVAL == 0) {
            due.addAll(collectOtherZoneLinks(now));
        }
        PeerMessage.Heartbeat plain = createHeartbeat(now, List.of());
        Optional<ProcessIdentifier> informed =
                due.isEmpty() ? Optional.empty() : Optional.of(due.get((int) (sequence % due.size())));
        for (ProcessIdentifier peer : due) {
            PeerMessage.Heartbeat sent =
                    informed.equals(Optional.of(peer)) ? createHeartbeat(now, selectNews(peer, now)) : plain;
            connections.apply(peer).ifPresent(connection -> {
                connection.markUsed(now);
                connection.send(sent);
            });
        }
    }

    /** Takes a heartbeat of another process. */
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

    /** Own links to other availability zones, and processes there that chose this one. */
    private Set<ProcessIdentifier> collectOtherZoneLinks(long now) {
        heartbeatReceivedAt
                .values()
                .removeIf(heard -> now - heard > PeerDirectory.DIRECT_REACHABILITY_TIMEOUT.toNanos());
        Set<ProcessIdentifier> far = new TreeSet<>(links.otherZones());
        for (ProcessIdentifier peer : heartbeatReceivedAt.keySet()) {
            if (!links.ownZone().contains(peer)) {
                far.add(peer);
            }
        }
        return far;
    }

    private PeerMessage.Heartbeat createHeartbeat(long now, List<PeerMessage.PeerNews> news) {
        Map<PeerTopic, byte[]> parts = new EnumMap<>(PeerTopic.class);
        partSuppliers.forEach((topic, part) -> collectPart(topic, part, parts));
        Optional<List<ZoneName>> zones = sequence % ZONE_LIST_HEARTBEAT_INTERVAL == 1
                ? Optional.of(directory.reachableZones(now))
                : Optional.empty();
        return new PeerMessage.Heartbeat(sequence, appliedOffset.getAsLong(), parts, zones, news);
    }

    /** A part that fails is left out; the heartbeat itself goes on. */
    private void collectPart(PeerTopic topic, Supplier<byte[]> part, Map<PeerTopic, byte[]> parts) {
        try {
            parts.put(topic, part.get());
        } catch (RuntimeException failure) {
            counters.failedParts.increment();
        }
    }

    /** News in turn of the processes that the receiver does not hear itself. */
    private List<PeerMessage.PeerNews> selectNews(ProcessIdentifier receiver, long now) {
        boolean near = links.ownZone().contains(receiver);
        Map<ProcessIdentifier, Long> versions = new HashMap<>();
        members.get().forEach(member -> versions.put(member.process(), member.version()));
        List<PeerDirectory.KnownPeer> tellable = directory.findAll().stream()
                .filter(peer -> peer.isReachable(now) && !peer.process().equals(receiver))
                .filter(peer -> !near || !links.ownZone().contains(peer.process()))
                .sorted(Comparator.comparing(PeerDirectory.KnownPeer::process))
                .toList();
        List<PeerMessage.PeerNews> news = new ArrayList<>();
        for (int count = 0; count < Math.min(MAX_NEWS, tellable.size()); count++) {
            PeerDirectory.KnownPeer peer = tellable.get(Math.floorMod(newsCursor++, tellable.size()));
            long version = versions.getOrDefault(peer.process(), 0L);
            news.add(new PeerMessage.PeerNews(
                    version,
                    version == 0 ? Optional.of(peer.identity()) : Optional.empty(),
                    peer.sequence(),
                    peer.appliedOffset(),
                    Duration.ofNanos(now - peer.heardAt()).toMillis()));
        }
        return news;
    }
}
