package org.cicadalead.model.command;

/** What a process asks of the shared state by an append to the platform log. Implementations are immutable. */
public sealed interface Command
        permits CheckpointCommand,
                ConfigurationCommand,
                FleetCommand,
                JobCommand,
                MaintenanceCommand,
                MembershipCommand {}
