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
 * members. {@link #plan} and {@link #beat} are called by the timer's thread; the rest is safe for use by several
 * threads.
 */
final class HeartbeatSender {
    /** Time between heartbeats inside an availability zone. */
    static final Duration PERIOD = Duration.ofSeconds(2);

    /** Beats between heartbeats to another availability zone. */
    static final int FAR_BEATS = 3;

    /** Beats between two that name the reachable availability zones. */
    static final int ZONE_BEATS = 5;

    /** Most processes that one heartbeat brings news of. */
    static final int NEWS_LIMIT = 40;

    private final PeerIdentity self;
    private final PeerDirectory directory;
    private final LongSupplier appliedOffset;
    private final Supplier<Collection<Member>> members;
    private final PeerCounters counters;
    private final Map<PeerTopic, Supplier<byte[]>> contributors = new ConcurrentHashMap<>();
    private final Map<ProcessIdentifier, Long> dialedBy = new ConcurrentHashMap<>();
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

    void contribute(PeerTopic topic, Supplier<byte[]> part) {
        contributors.put(topic, part);
    }

    /** Chooses the links anew. */
    void plan(long now) {
        List<LinkPlan.Candidate> candidates = directory.all().stream()
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
    void beat(long now, Function<ProcessIdentifier, Optional<PeerConnection>> connections) {
        sequence++;
        List<ProcessIdentifier> due = new ArrayList<>(links.ownZone());
        if (sequence % FAR_BEATS == 0) {
            due.addAll(farLinks(now));
        }
        PeerMessage.Heartbeat plain = heartbeat(now, List.of());
        Optional<ProcessIdentifier> informed =
                due.isEmpty() ? Optional.empty() : Optional.of(due.get((int) (sequence % due.size())));
        for (ProcessIdentifier peer : due) {
            PeerMessage.Heartbeat sent =
                    informed.equals(Optional.of(peer)) ? heartbeat(now, newsFor(peer, now)) : plain;
            connections.apply(peer).ifPresent(connection -> {
                connection.touch(now);
                connection.send(sent);
            });
        }
    }

    /** Takes a heartbeat of another process. */
    void onHeartbeat(PeerConnection connection, PeerMessage.Heartbeat heartbeat, long now) {
        PeerIdentity sender = connection.peer().orElseThrow();
        connection.touch(now);
        dialedBy.put(sender.process(), now);
        directory.onHeartbeat(sender, heartbeat, now);
        if (heartbeat.news().isEmpty()) {
            return;
        }
        Map<Long, ProcessIdentifier> byVersion = new HashMap<>();
        members.get().forEach(member -> byVersion.put(member.version(), member.process()));
        for (PeerMessage.PeerNews news : heartbeat.news()) {
            news.identity().ifPresent(identity -> directory.learn(identity, now));
            Optional.ofNullable(byVersion.get(news.memberVersion()))
                    .or(() -> news.identity().map(PeerIdentity::process))
                    .ifPresent(process -> directory.onNews(process, news, now));
        }
    }

    /** Own links to other availability zones, and processes there that chose this one. */
    private Set<ProcessIdentifier> farLinks(long now) {
        dialedBy.values().removeIf(heard -> now - heard > PeerDirectory.REACHABLE_FOR.toNanos());
        Set<ProcessIdentifier> far = new TreeSet<>(links.otherZones());
        for (ProcessIdentifier peer : dialedBy.keySet()) {
            if (!links.ownZone().contains(peer)) {
                far.add(peer);
            }
        }
        return far;
    }

    private PeerMessage.Heartbeat heartbeat(long now, List<PeerMessage.PeerNews> news) {
        Map<PeerTopic, byte[]> parts = new EnumMap<>(PeerTopic.class);
        contributors.forEach((topic, part) -> take(topic, part, parts));
        Optional<List<ZoneName>> zones =
                sequence % ZONE_BEATS == 1 ? Optional.of(directory.reachableZones(now)) : Optional.empty();
        return new PeerMessage.Heartbeat(sequence, appliedOffset.getAsLong(), parts, zones, news);
    }

    /** A part that fails is left out; the heartbeat itself goes on. */
    private void take(PeerTopic topic, Supplier<byte[]> part, Map<PeerTopic, byte[]> parts) {
        try {
            parts.put(topic, part.get());
        } catch (RuntimeException failure) {
            counters.failedParts.increment();
        }
    }

    /** News in turn of the processes that the receiver does not hear itself. */
    private List<PeerMessage.PeerNews> newsFor(ProcessIdentifier receiver, long now) {
        boolean near = links.ownZone().contains(receiver);
        Map<ProcessIdentifier, Long> versions = new HashMap<>();
        members.get().forEach(member -> versions.put(member.process(), member.version()));
        List<PeerDirectory.KnownPeer> tellable = directory.all().stream()
                .filter(peer -> peer.isReachable(now) && !peer.process().equals(receiver))
                .filter(peer -> !near || !links.ownZone().contains(peer.process()))
                .sorted(Comparator.comparing(PeerDirectory.KnownPeer::process))
                .toList();
        List<PeerMessage.PeerNews> news = new ArrayList<>();
        for (int count = 0; count < Math.min(NEWS_LIMIT, tellable.size()); count++) {
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
