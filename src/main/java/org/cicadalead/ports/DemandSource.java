package org.cicadalead.ports;

import java.util.Map;
import org.cicadalead.model.identity.PoolName;

/** Reported usage, which comes late. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface DemandSource {
    /** Returns, for each pool that reports, the number of hosts that its present work would keep busy. */
    Map<PoolName, Double> busyHosts();
}
