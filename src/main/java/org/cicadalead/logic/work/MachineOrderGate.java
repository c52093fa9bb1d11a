package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a leader may send orders for machines. An order that is sent into a network partition is delivered
 * when the partition ends, seconds after its call has timed out, and the platform may not check fencing tokens: a
 * successor could have given the machine another order by then. So none is sent once the leader may have lost its term,
 * or while an earlier one is without a reply for longer than the platform takes. Not thread-safe.
 */
public final class MachineOrderGate {
    /** Age of the last confirmed record up to which orders are sent: two heartbeats, and an append that is slow. */
    private static final long MAX_UNCONFIRMED_MILLISECONDS = 700;

    /** Time in which the platform replies to an order; it takes a few milliseconds. */
    private static final long MAX_REPLY_MILLISECONDS = 150;

    private final Map<String, Long> sentAtByMachine = new HashMap<>();

    /** Returns whether orders may be sent, given the time since the last confirmed record of the leader was sent. */
    public boolean isOpen(long now, long unconfirmedMilliseconds) {
        return unconfirmedMilliseconds < MAX_UNCONFIRMED_MILLISECONDS
                && sentAtByMachine.values().stream().allMatch(sentAt -> now - sentAt < MAX_REPLY_MILLISECONDS);
    }

    /** Records that an order was sent. */
    public void onSent(String machine, long now) {
        sentAtByMachine.put(machine, now);
    }

    /** Records the end of the call with an order, by a reply or by its timeout. */
    public void onCallEnded(String machine) {
        sentAtByMachine.remove(machine);
    }
}
