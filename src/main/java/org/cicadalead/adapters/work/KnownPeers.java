package org.cicadalead.adapters.work;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cicadalead.model.work.SocketAddressText;

/**
 * The addresses of other processes, those heard of last. Bounded, so that addresses of processes that have gone are
 * forgotten. Safe for use by several threads.
 */
final class KnownPeers {
    /** Maximum number of addresses; those of a few rounds of requests, of which some processes may have gone. */
    private static final int MAX_ADDRESSES = 32;

    private final String ownAddress;
    private final Set<String> addresses = new LinkedHashSet<>();

    KnownPeers(String ownAddress) {
        this.ownAddress = ownAddress;
    }

    /** Adds an address as the one heard of last; anything that is no address with a port is ignored. */
    synchronized void add(String address) {
        if (address.equals(ownAddress) || SocketAddressText.parse(address).isEmpty()) {
            return;
        }
        addresses.remove(address);
        addresses.add(address);
        if (addresses.size() > MAX_ADDRESSES) {
            addresses.remove(addresses.iterator().next());
        }
    }

    /** Chooses addresses at random. */
    synchronized List<String> choose(int maximum, Random random, String excluded) {
        List<String> candidates = new ArrayList<>(addresses);
        candidates.remove(excluded);
        Collections.shuffle(candidates, random);
        return List.copyOf(candidates.subList(0, Math.min(maximum, candidates.size())));
    }
}
