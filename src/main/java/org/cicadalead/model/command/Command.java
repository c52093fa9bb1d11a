package org.cicadalead.model.command;

/**
 * A change of the shared state that a process requests by an append to the platform log. Implementations are immutable.
 */
public sealed interface Command
        permits CheckpointCommand,
                ConfigurationCommand,
                FleetCommand,
                JobCommand,
                MaintenanceCommand,
                MembershipCommand {}
