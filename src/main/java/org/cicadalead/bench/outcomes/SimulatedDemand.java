package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.identity.PoolName;

/**
 * Demand that goes by turns: each pool briefly asks for five times its mean, more than it holds, and for a twentieth in
 * between. Sizes are not what was declared, and reports are late and noisy. For use by one thread.
 */
final class SimulatedDemand {
    private static final long PEAK_MILLISECONDS = 40 * 60_000;
    private static final int PEAK_GROUPS = 5;
    private static final double PEAK_FACTOR = 5;
    private static final double OFF_PEAK_FACTOR = 0.05;
    private static final double MEAN_SHARE_OF_PROMISE = 0.27;
    private static final double MIN_SIZE_ERROR = 0.7;
    private static final double SIZE_ERROR_SPREAD = 0.7;
    private static final double REPORT_NOISE = 0.2;
    private static final long REPORT_LAG_MILLISECONDS = 45_000;

    private final List<PoolName> pools = new ArrayList<>();
    private final Map<PoolName, Double> meanHosts = new HashMap<>();
    private final Random random;

    SimulatedDemand(FleetConfiguration configuration, Random random) {
        this.random = random;
        for (PoolDefinition pool : configuration.pools().values()) {
            int promised = configuration.services().values().stream()
                    .filter(service -> service.pool().equals(pool.name()))
                    .map(ServiceDefinition::budget)
                    .mapToInt(budget -> budget.promisedHosts())
                    .max()
                    .orElse(0);
            if (promised > 0) {
                pools.add(pool.name());
                double error = MIN_SIZE_ERROR + random.nextDouble() * SIZE_ERROR_SPREAD;
                meanHosts.put(pool.name(), promised * MEAN_SHARE_OF_PROMISE * error);
            }
        }
    }

    /** Returns the hosts that a pool's present work would keep busy. */
    double demandedHosts(PoolName pool, long nowMilliseconds) {
        Double mean = meanHosts.get(pool);
        if (mean == null) {
            return 0;
        }
        long turn = Math.max(0, nowMilliseconds) / PEAK_MILLISECONDS;
        boolean burst = pools.indexOf(pool) % PEAK_GROUPS == turn % PEAK_GROUPS;
        return mean * (burst ? PEAK_FACTOR : OFF_PEAK_FACTOR);
    }

    /** Returns what is reported now: the past, with errors. */
    Map<PoolName, Double> createReport(long nowMilliseconds) {
        Map<PoolName, Double> report = new HashMap<>();
        for (PoolName pool : pools) {
            double noise = 1 + (random.nextDouble() * 2 - 1) * REPORT_NOISE;
            report.put(pool, demandedHosts(pool, nowMilliseconds - REPORT_LAG_MILLISECONDS) * noise);
        }
        return report;
    }
}
