package org.cicadalead.model.fleet;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.WaveIdentifier;

/**
 * A host in the shared state. It is in exactly one pool at any moment: until a move's assignment the old one.
 * Immutable.
 *
 * @param name the host
 * @param version offset of the record that last changed it
 * @param pool the pool that it belongs to
 * @param health observed health
 * @param maintenance step of its maintenance
 * @param wave the wave of its maintenance, while there is one
 * @param move the move in progress, while there is one
 */
public record HostState(
        HostName name,
        long version,
        PoolName pool,
        HostHealth health,
        MaintenanceStep maintenance,
        Optional<WaveIdentifier> wave,
        Optional<HostMoveState> move) {
    /** Returns a host that was just declared. */
    public static HostState declared(HostName name, long version, PoolName pool) {
        return new HostState(
                name, version, pool, HostHealth.UP, MaintenanceStep.NONE, Optional.empty(), Optional.empty());
    }

    /** Tells whether the host can take new work of its pool. */
    public boolean isAvailable() {
        return health.isAvailable() && maintenance.isAvailable() && move.isEmpty();
    }

    /** Returns this host with another health. */
    public HostState withHealth(long newVersion, HostHealth newHealth) {
        return new HostState(name, newVersion, pool, newHealth, maintenance, wave, move);
    }

    /** Returns this host at a step of maintenance. */
    public HostState withMaintenance(long newVersion, MaintenanceStep step, Optional<WaveIdentifier> newWave) {
        return new HostState(name, newVersion, pool, health, step, newWave, move);
    }

    /** Returns this host with a move, or without one. */
    public HostState withMove(long newVersion, Optional<HostMoveState> newMove) {
        return new HostState(name, newVersion, pool, health, maintenance, wave, newMove);
    }

    /** Returns this host in another pool, without a move. */
    public HostState withPool(long newVersion, PoolName newPool) {
        return new HostState(name, newVersion, newPool, health, maintenance, wave, Optional.empty());
    }
}
