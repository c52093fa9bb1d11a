package org.cicadalead.logic.request;

import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.fleet.HostState;

/**
 * A worker that a service's requests may be sent to. Immutable, but for its runtime.
 *
 * @param state its record in the shared state that the route was made from
 * @param definition its declaration
 * @param inOwnZone whether it is in this process's availability zone
 * @param runtime its slots and outcomes
 */
public record HostRoute(HostState state, HostDefinition definition, boolean inOwnZone, HostRuntime runtime) {}
