package org.cicadalead.ports;

import java.util.Map;
import org.cicadalead.model.identity.PoolName;

/** Supplies reported usage, which lags behind. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface DemandSource {
    /** Returns, for each pool that reports usage, the number of hosts that its current work would keep busy. */
    Map<PoolName, Double> busyHosts();
}
