package org.cicadalead.logic.request;

import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.fleet.HostState;

/**
 * A worker to which requests of a service may be sent. Immutable, except for its runtime.
 *
 * @param state its state in the shared state from which the route was created
 * @param definition its definition in the configuration
 * @param inOwnZone whether it is in this process's availability zone
 * @param runtime its slots and health
 */
public record HostRoute(HostState state, HostDefinition definition, boolean inOwnZone, HostRuntime runtime) {}
