package org.cicadalead.logic.work;

import java.util.OptionalLong;

/**
 * A poll of a host, which lists its runs, renews its lease and acknowledges ended runs. Immutable.
 *
 * @param target the host
 * @param deadline expiry of the lease in milliseconds of the host's clock; empty when the lease is not renewed
 * @param acknowledged number up to which ended runs are in the store
 * @param waitMilliseconds how long the host may wait for a run to end before it replies
 */
public record HostPollRequest(
        WorkOrder.HostTarget target, OptionalLong deadline, long acknowledged, long waitMilliseconds) {}
