package org.cicadalead.logic.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cicadalead.model.identity.ProcessIdentifier;

/**
 * Orders processes for a key by highest random weight (Thaler and Ravishankar), with the 64-bit FNV-1a hash and the
 * finalizer of MurmurHash3. Every process computes the same order. Stateless; safe for use by several threads.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the processes ordered by their weight for a key, highest first. */
    public static List<ProcessIdentifier> order(String key, Collection<ProcessIdentifier> processes) {
        List<ProcessIdentifier> ordered = new ArrayList<>(processes);
        ordered.sort(Comparator.comparingLong((ProcessIdentifier process) -> weight(key, process))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    private static long weight(String key, ProcessIdentifier process) {
        long hash = FNV_OFFSET;
        for (byte next : (key + '\n' + process.value()).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
