package org.cicadalead.logic.work;

import java.util.OptionalLong;

/**
 * A poll of a host, which lists its runs, renews its lease and acknowledges ended runs. Immutable.
 *
 * @param target the host
 * @param deadline expiry of the lease in milliseconds of the host's clock; empty when the lease is not renewed
 * @param acknowledged number up to which ended runs are in the store
 * @param waitMilliseconds how long the host may wait for a run to end before it replies
 * @param repeatAfterMilliseconds time after which the next poll is sent although this one has no reply yet; empty if
 *     the next one waits for the reply or its time limit
 */
public record HostPollRequest(
        WorkOrder.HostTarget target,
        OptionalLong deadline,
        long acknowledged,
        long waitMilliseconds,
        OptionalLong repeatAfterMilliseconds) {}
