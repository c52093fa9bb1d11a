package org.cicadalead.logic.work;

import java.util.List;
import org.cicadalead.model.event.EventDetail;

/**
 * Why a lasting task does not run. Immutable.
 *
 * @param cause the first condition that keeps the task from running
 * @param key equal for reasons that differ only in inputs that change all the time, such as ages
 * @param inputs the values that the cause was decided on; of bounded number and size
 */
public record WaitingReason(Cause cause, String key, List<EventDetail> inputs) {
    /** Copies the list. */
    public WaitingReason {
        inputs = List.copyOf(inputs);
    }

    /** Returns whether a line about the other reason would tell nothing new. */
    boolean isSameAs(WaitingReason other) {
        return cause == other.cause && key.equals(other.key);
    }

    /** Conditions that keep a task from running, in the order in which they are checked. */
    public enum Cause {
        /** A run is believed to exist, but is not known to be at work. */
        RUN_EXPECTED,
        /** The last confirmed record of the leader is too old to start work. */
        LEADER_UNCONFIRMED,
        /** The first announcement of the term is not stored yet. */
        FIRST_ANNOUNCEMENT_PENDING,
        /** Hosts of the service may still have runs of an earlier term. */
        SERVICE_CLOSED,
        /** Some tasks of the gang still have runs, so the gang cannot start. */
        GANG_INCOMPLETE,
        /** The runs of the account of the job leave no room below its limit. */
        ACCOUNT_LIMIT,
        /** No host of the service may get a task of the step, whatever its room. */
        NO_USABLE_HOST,
        /** No host that may get the task has enough free capacity. */
        NO_ROOM,
        /** A host has room, and the announcement that names the job as started is not stored yet. */
        START_INTENT_PENDING,
        /**
         * A host has room and nothing else is known that keeps the task from running; the next cycle should start it.
         */
        PLACEABLE
    }
}
