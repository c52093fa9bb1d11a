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
 * The peers that a process exchanges heartbeats with. In its own availability zone these are its nearest neighbours on
 * a ring ordered by identifier; a zone of at most nine members is fully connected. In each other zone it is one peer,
 * chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so that the failure of a peer moves only the links to
 * that peer. The number of links does not grow with the number of members. Immutable.
 *
 * @param ownZone peers in the process's own availability zone
 * @param otherZones one peer in each other availability zone
 */
public record LinkPlan(SortedSet<ProcessIdentifier> ownZone, SortedSet<ProcessIdentifier> otherZones) {
    /** Number of neighbours on each side of a process on the ring of its availability zone. */
    public static final int NEIGHBOURS_EACH_SIDE = 4;

    /**
     * A peer that may be chosen for a link.
     *
     * @param process the peer
     * @param zone its availability zone
     * @param isReachable whether its last heartbeat is recent enough
     */
    public record Candidate(ProcessIdentifier process, ZoneName zone, boolean isReachable) {}

    /** Chooses the links of a process among the peers that it knows. */
    public static LinkPlan choose(ProcessIdentifier self, ZoneName zone, Collection<Candidate> candidates) {
        TreeMap<ZoneName, List<Candidate>> byOtherZone = new TreeMap<>();
        TreeSet<ProcessIdentifier> ring = new TreeSet<>();
        for (Candidate candidate : candidates) {
            if (candidate.zone().equals(zone)) {
                ring.add(candidate.process());
            } else {
                byOtherZone
                        .computeIfAbsent(candidate.zone(), absent -> new ArrayList<>())
                        .add(candidate);
            }
        }
        TreeSet<ProcessIdentifier> chosenElsewhere = new TreeSet<>();
        for (Map.Entry<ZoneName, List<Candidate>> entry : byOtherZone.entrySet()) {
            chosenElsewhere.add(chooseByRendezvousHash(self, entry.getValue()));
        }
        return new LinkPlan(chooseNeighbours(self, new ArrayList<>(ring)), chosenElsewhere);
    }

    private static SortedSet<ProcessIdentifier> chooseNeighbours(ProcessIdentifier self, List<ProcessIdentifier> ring) {
        if (ring.size() <= 2 * NEIGHBOURS_EACH_SIDE) {
            return new TreeSet<>(ring);
        }
        long ownPosition =
                ring.stream().filter(peer -> peer.compareTo(self) < 0).count();
        TreeSet<ProcessIdentifier> chosen = new TreeSet<>();
        for (int distance = 0; distance < NEIGHBOURS_EACH_SIDE; distance++) {
            chosen.add(ring.get(Math.floorMod((int) ownPosition + distance, ring.size())));
            chosen.add(ring.get(Math.floorMod((int) ownPosition - 1 - distance, ring.size())));
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
