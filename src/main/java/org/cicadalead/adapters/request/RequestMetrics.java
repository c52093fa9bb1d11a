package org.cicadalead.adapters.request;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ServiceName;

/** Metrics of the request pipeline. Safe for use by several threads. */
final class RequestMetrics {
    private static final double MEDIAN = 0.5;
    private static final double NINETY_NINTH = 0.99;

    private final MeterRegistry registry;
    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);
    private final Counter responses;
    private final Counter retries;
    private final Counter ejections;
    private final Timer latency;

    RequestMetrics(MeterRegistry registry) {
        this.registry = registry;
        for (ErrorKind kind : ErrorKind.values()) {
            failures.put(kind, registry.counter("cicadalead.requests.failed", "kind", kind.code()));
        }
        responses = registry.counter("cicadalead.requests.answered");
        retries = registry.counter("cicadalead.requests.retried");
        ejections = registry.counter("cicadalead.hosts.ejected");
        latency = Timer.builder("cicadalead.requests.latency")
                .publishPercentiles(MEDIAN, NINETY_NINTH)
                .register(registry);
    }

    void recordResponse(long nanoseconds) {
        responses.increment();
        latency.record(Duration.ofNanos(nanoseconds));
    }

    void recordFailure(ErrorKind kind) {
        failures.get(kind).increment();
    }

    void recordRetry() {
        retries.increment();
    }

    void recordEjection() {
        ejections.increment();
    }

    void registerQueueGauge(ServiceName service, IntSupplier length) {
        Gauge.builder("cicadalead.queue.length", length::getAsInt)
                .tag("service", service.value())
                .register(registry);
    }
}
