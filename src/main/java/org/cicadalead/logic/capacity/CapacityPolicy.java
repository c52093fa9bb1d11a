package org.cicadalead.logic.capacity;

import org.cicadalead.model.configuration.Measure;

/**
 * Policy for spare capacity and for the number of hosts in maintenance at once. The first two policies are baselines
 * for comparison.
 */
public enum CapacityPolicy {
    /** Each pool holds its own buffer beyond its promise; no hosts are shared between pools. */
    FIXED_BUFFER {
        @Override
        public int targetHosts(PoolCapacity pool) {
            return pool.promised() == 0 ? 0 : pool.promised() + bufferHosts(pool);
        }

        @Override
        public int maximumHostsInMaintenance(PoolCapacity pool) {
            return bufferHosts(pool);
        }
    },
    /** The whole fleet has at most one move in progress and one host under maintenance. */
    ONE_HOST_AT_A_TIME {
        @Override
        public int maximumMoves() {
            return 1;
        }

        @Override
        public int maximumHostsInMaintenanceInFleet() {
            return 1;
        }
    },
    /** All pools share one spare pool, sized by the largest failure of a single rack, and lend hosts to each other. */
    SHARED_SPARE {
        @Override
        public boolean canShareBetweenPools() {
            return true;
        }
    };

    private static final double BUFFER_FRACTION = 0.1;

    /** Returns how many hosts a pool should have. */
    public int targetHosts(PoolCapacity pool) {
        return pool.promised();
    }

    /** Returns the maximum number of hosts of a pool under maintenance at once; budgets may allow fewer. */
    public int maximumHostsInMaintenance(PoolCapacity pool) {
        return Integer.MAX_VALUE;
    }

    /** Returns the maximum number of hosts of the fleet under maintenance at once. */
    public int maximumHostsInMaintenanceInFleet() {
        return Integer.MAX_VALUE;
    }

    /** Returns the maximum number of moves in progress. */
    public int maximumMoves() {
        return Integer.MAX_VALUE;
    }

    /** Tells whether a host that exceeds the promise of its pool may move to another pool. */
    public boolean canShareBetweenPools() {
        return false;
    }

    /** Tells whether idle hosts are lent to a pool whose demand lasts longer than a move takes. */
    public boolean canLend(Measure firstMeasure) {
        return canShareBetweenPools() && firstMeasure == Measure.BUFFER_COST;
    }

    /** Tells whether hosts under maintenance are replaced until they return, so that a wave finishes sooner. */
    public boolean canReplaceHostsInMaintenance(Measure firstMeasure) {
        return canShareBetweenPools() && firstMeasure == Measure.ROLL_OUT_TIME;
    }

    /** Returns how many idle hosts the spare pool keeps; loaned hosts are recalled when a promise needs them. */
    public int idleReserve(Measure firstMeasure, int largestRackFailure) {
        return firstMeasure == Measure.BUFFER_COST ? Math.min(1, largestRackFailure) : largestRackFailure;
    }

    private static int bufferHosts(PoolCapacity pool) {
        return (int) Math.ceil(pool.promised() * BUFFER_FRACTION);
    }
}
