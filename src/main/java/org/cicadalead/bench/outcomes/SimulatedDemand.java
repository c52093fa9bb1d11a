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
 * Simulates demand in which the pools have their peaks one group after the other. During a peak a pool demands five
 * times its mean, which is more than its hosts can serve, and otherwise a twentieth of it. The actual mean differs from
 * the declared one, and reports are late and noisy. For use by one thread.
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
            int promisedHosts = configuration.services().values().stream()
                    .filter(service -> service.pool().equals(pool.name()))
                    .map(ServiceDefinition::budget)
                    .mapToInt(budget -> budget.promisedHosts())
                    .max()
                    .orElse(0);
            if (promisedHosts > 0) {
                pools.add(pool.name());
                double sizeError = MIN_SIZE_ERROR + random.nextDouble() * SIZE_ERROR_SPREAD;
                meanHosts.put(pool.name(), promisedHosts * MEAN_SHARE_OF_PROMISE * sizeError);
            }
        }
    }

    /** Returns how many hosts the current demand of a pool would keep busy. */
    double demandedHosts(PoolName pool, long nowMilliseconds) {
        Double meanDemand = meanHosts.get(pool);
        if (meanDemand == null) {
            return 0;
        }
        long peakNumber = Math.max(0, nowMilliseconds) / PEAK_MILLISECONDS;
        boolean isPeak = pools.indexOf(pool) % PEAK_GROUPS == peakNumber % PEAK_GROUPS;
        return meanDemand * (isPeak ? PEAK_FACTOR : OFF_PEAK_FACTOR);
    }

    /** Returns the demand as it is reported now, by pool: an earlier demand with random noise. */
    Map<PoolName, Double> createReport(long nowMilliseconds) {
        Map<PoolName, Double> report = new HashMap<>();
        for (PoolName pool : pools) {
            double noise = 1 + (random.nextDouble() * 2 - 1) * REPORT_NOISE;
            report.put(pool, demandedHosts(pool, nowMilliseconds - REPORT_LAG_MILLISECONDS) * noise);
        }
        return report;
    }
}
