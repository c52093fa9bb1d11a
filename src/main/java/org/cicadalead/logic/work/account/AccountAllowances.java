package org.cicadalead.logic.work.account;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.cicadalead.model.work.HostCapacity;

/**
 * The allowances that a term has announced to its successor. Any announcement from the newest stored one on may be the
 * last one in the store, so the smallest of them bounds the starts. Not thread-safe.
 */
final class AccountAllowances {
    private final NavigableMap<Long, Map<String, HostCapacity>> announced = new TreeMap<>();
    private long storedGeneration;
    private Map<String, HostCapacity> effective = Map.of();

    /** Records an announcement that may be stored from now on. */
    void announce(long generation, Map<String, HostCapacity> allowances) {
        announced.put(generation, Map.copyOf(allowances));
        updateEffective();
    }

    /** Records that an announcement is in the store. */
    void onStored(long generation) {
        if (generation > storedGeneration) {
            storedGeneration = generation;
            announced.headMap(generation).clear();
            updateEffective();
        }
    }

    private void updateEffective() {
        Map<String, HostCapacity> smallest = new HashMap<>();
        boolean isFirst = true;
        for (Map<String, HostCapacity> allowances : announced.values()) {
            if (isFirst) {
                smallest.putAll(allowances);
                isFirst = false;
            } else {
                smallest.replaceAll(
                        (account, capacity) -> capacity.lowest(allowances.getOrDefault(account, HostCapacity.NONE)));
            }
        }
        effective = storedGeneration == 0 ? Map.of() : smallest;
    }

    /** Returns what an account may run by each announcement that may be the last one in the store. */
    HostCapacity effective(String account) {
        return effective.getOrDefault(account, HostCapacity.NONE);
    }

    /** Returns what an account may run by the newest announcement, stored or not. */
    HostCapacity newest(String account) {
        return announced.isEmpty()
                ? HostCapacity.NONE
                : announced.lastEntry().getValue().getOrDefault(account, HostCapacity.NONE);
    }
}
