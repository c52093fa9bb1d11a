package org.cicadalead.model.fleet;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.WaveIdentifier;

/**
 * A host in the shared state. It is in exactly one pool at any time; during a move it stays in the old pool until the
 * assignment. Immutable.
 *
 * @param name the host
 * @param version offset of the record that last changed it
 * @param pool the pool that it belongs to
 * @param health observed health
 * @param maintenance current step of its maintenance
 * @param wave the maintenance wave that has taken the host; empty if there is none
 * @param move the move in progress; empty if there is none
 */
public record HostState(
        HostName name,
        long version,
        PoolName pool,
        HostHealth health,
        MaintenanceStep maintenance,
        Optional<WaveIdentifier> wave,
        Optional<HostMoveState> move) {
    /** Returns a newly declared host. */
    public static HostState declared(HostName name, long version, PoolName pool) {
        return new HostState(
                name, version, pool, HostHealth.UP, MaintenanceStep.NONE, Optional.empty(), Optional.empty());
    }

    /** Tells whether the host can take new work of its pool. */
    public boolean isAvailable() {
        return health.isAvailable() && maintenance.isAvailable() && move.isEmpty();
    }

    /** Returns a copy with another health. */
    public HostState withHealth(long newVersion, HostHealth newHealth) {
        return new HostState(name, newVersion, pool, newHealth, maintenance, wave, move);
    }

    /** Returns a copy at a maintenance step. */
    public HostState withMaintenance(long newVersion, MaintenanceStep step, Optional<WaveIdentifier> newWave) {
        return new HostState(name, newVersion, pool, health, step, newWave, move);
    }

    /** Returns a copy with a move, or without one. */
    public HostState withMove(long newVersion, Optional<HostMoveState> newMove) {
        return new HostState(name, newVersion, pool, health, maintenance, wave, newMove);
    }

    /** Returns a copy in another pool, without a move. */
    public HostState withPool(long newVersion, PoolName newPool) {
        return new HostState(name, newVersion, newPool, health, maintenance, wave, Optional.empty());
    }
}
