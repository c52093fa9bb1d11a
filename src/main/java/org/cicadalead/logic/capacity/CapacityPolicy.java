package org.cicadalead.logic.capacity;

import org.cicadalead.model.configuration.Measure;

/** How spare capacity is held and how much maintenance runs at once. The first two are plain baselines. */
public enum CapacityPolicy {
    /** Each pool holds a buffer of its own beyond its promise, and shares nothing. */
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
    /** The whole fleet has one move in progress and one host under maintenance. */
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
    /** All pools share one spare pool, sized by the worst single event, and lend to each other. */
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

    /** Returns how many hosts of a pool may be under maintenance at once, within its budgets. */
    public int maximumHostsInMaintenance(PoolCapacity pool) {
        return Integer.MAX_VALUE;
    }

    /** Returns how many hosts of the fleet may be under maintenance at once. */
    public int maximumHostsInMaintenanceInFleet() {
        return Integer.MAX_VALUE;
    }

    /** Returns how many moves may be in progress. */
    public int maximumMoves() {
        return Integer.MAX_VALUE;
    }

    /** Tells whether a host beyond one pool's promise may go to another pool. */
    public boolean canShareBetweenPools() {
        return false;
    }

    /** Tells whether idle hosts are lent to a pool whose demand outlasts a move. */
    public boolean canLend(Measure firstMeasure) {
        return canShareBetweenPools() && firstMeasure == Measure.BUFFER_COST;
    }

    /** Tells whether hosts under maintenance are replaced meanwhile, so that a wave finishes sooner. */
    public boolean canReplaceHostsInMaintenance(Measure firstMeasure) {
        return canShareBetweenPools() && firstMeasure == Measure.ROLL_OUT_TIME;
    }

    /** Returns how many idle hosts the spare pool keeps; lent hosts are called back when a promise needs them. */
    public int idleReserve(Measure firstMeasure, int worstEvent) {
        return firstMeasure == Measure.BUFFER_COST ? Math.min(1, worstEvent) : worstEvent;
    }

    private static int bufferHosts(PoolCapacity pool) {
        return (int) Math.ceil(pool.promised() * BUFFER_FRACTION);
    }
}
