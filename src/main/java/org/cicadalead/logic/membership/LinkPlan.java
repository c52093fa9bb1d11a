package org.cicadalead.logic.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * Chooses the peers that a process exchanges heartbeats with. In its own availability zone these are its nearest
 * neighbours on a ring ordered by identifier, which is everybody while the zone has at most nine members; in each other
 * zone it is one peer, chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so that a lost peer moves only the
 * links that led to it. The number of links does not grow with the number of members. Immutable.
 *
 * @param ownZone peers of the own availability zone
 * @param otherZones one peer for each other availability zone
 */
public record LinkPlan(SortedSet<ProcessIdentifier> ownZone, SortedSet<ProcessIdentifier> otherZones) {
    /** Neighbours on each side of the ring of an availability zone. */
    public static final int NEIGHBOURS_EACH_SIDE = 4;

    /**
     * A peer that may be linked.
     *
     * @param process the peer
     * @param zone its availability zone
     * @param isReachable whether it was heard of in time
     */
    public record Candidate(ProcessIdentifier process, ZoneName zone, boolean isReachable) {}

    /** Chooses links for a process among the peers that it knows. */
    public static LinkPlan choose(ProcessIdentifier self, ZoneName zone, Collection<Candidate> candidates) {
        TreeMap<ZoneName, List<Candidate>> others = new TreeMap<>();
        TreeSet<ProcessIdentifier> ring = new TreeSet<>();
        for (Candidate candidate : candidates) {
            if (candidate.zone().equals(zone)) {
                ring.add(candidate.process());
            } else {
                others.computeIfAbsent(candidate.zone(), unseen -> new ArrayList<>())
                        .add(candidate);
            }
        }
        TreeSet<ProcessIdentifier> far = new TreeSet<>();
        for (Map.Entry<ZoneName, List<Candidate>> entry : others.entrySet()) {
            far.add(chooseByRendezvousHash(self, entry.getValue()));
        }
        return new LinkPlan(chooseNeighbours(self, new ArrayList<>(ring)), far);
    }

    private static SortedSet<ProcessIdentifier> chooseNeighbours(ProcessIdentifier self, List<ProcessIdentifier> ring) {
        if (ring.size() <= 2 * NEIGHBOURS_EACH_SIDE) {
            return new TreeSet<>(ring);
        }
        long before = ring.stream().filter(peer -> peer.compareTo(self) < 0).count();
        TreeSet<ProcessIdentifier> chosen = new TreeSet<>();
        for (int step = 0; step < NEIGHBOURS_EACH_SIDE; step++) {
            chosen.add(ring.get(Math.floorMod((int) before + step, ring.size())));
            chosen.add(ring.get(Math.floorMod((int) before - 1 - step, ring.size())));
        }
        return chosen;
    }

    private static ProcessIdentifier chooseByRendezvousHash(ProcessIdentifier self, List<Candidate> candidates) {
        return candidates.stream()
                .max(Comparator.comparing(Candidate::isReachable)
                        .thenComparing(candidate -> computeWeight(self, candidate.process()))
                        .thenComparing(Candidate::process))
                .orElseThrow()
                .process();
    }

    private static int computeWeight(ProcessIdentifier self, ProcessIdentifier peer) {
        int hash = (self.value() + '/' + peer.value()).hashCode();
        hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
        hash = (hash ^ (hash >>> 13)) * 0xc2b2ae35;
        return hash ^ (hash >>> 16);
    }
}
