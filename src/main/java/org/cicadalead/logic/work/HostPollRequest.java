package org.cicadalead.logic.work;

import java.util.OptionalLong;

/**
 * A look at a host, which also renews its lease and acknowledges ends. Immutable.
 *
 * @param target the host
 * @param deadline end of the lease on the host's clock in milliseconds; empty where nothing runs
 * @param acknowledged ends up to this number are kept in the store
 * @param waitMilliseconds how long the host may wait for an end before it answers
 */
public record HostPollRequest(
        WorkOrder.HostTarget target, OptionalLong deadline, long acknowledged, long waitMilliseconds) {}
