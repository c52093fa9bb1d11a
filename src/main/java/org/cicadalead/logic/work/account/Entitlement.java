package org.cicadalead.logic.work.account;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which jobs an account is entitled to: as many as its weight a second, over a sliding window. Load pattern: an
 * account submits many times its usual load. The jobs beyond count for nothing, so that an account that stays above its
 * weight keeps what it is entitled to. Decided by the times of acceptance in the order of the store, so every leader
 * decides the same. Not thread-safe.
 */
public final class Entitlement {
    private final long windowMilliseconds;
    private final Map<String, ArrayDeque<Long>> entitledTimes = new HashMap<>();

    /** Creates the decision without any jobs. */
    public Entitlement(long windowMilliseconds) {
        this.windowMilliseconds = windowMilliseconds;
    }

    /** Returns whether an account is entitled to a job, and counts it if so. */
    public boolean add(String account, double weight, long acceptedMilliseconds) {
        ArrayDeque<Long> times = entitledTimes.computeIfAbsent(account, key -> new ArrayDeque<>());
        while (!times.isEmpty() && times.element() <= acceptedMilliseconds - windowMilliseconds) {
            times.remove();
        }
        if (times.size() >= Math.max(1, weight * windowMilliseconds / 1_000)) {
            return false;
        }
        times.add(acceptedMilliseconds);
        return true;
    }
}
