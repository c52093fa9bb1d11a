package org.cicadalead.adapters.work;

import java.util.function.LongSupplier;
import org.cicadalead.ports.Advisor;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.MachineOrders;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.TimerService;

/**
 * The external services that scheduling uses. Immutable.
 *
 * @param store the platform's store
 * @param hosts sends orders to hosts
 * @param machines sends orders for machines
 * @param advisor the external policy that selects hosts
 * @param registry decodes the registry of hosts and encodes the status that operators read
 * @param operator the operator's configuration and maintenance waves
 * @param timers clocks and timers
 * @param codec encodes records
 * @param log log of decisions
 * @param unconfirmedMilliseconds returns the time since the last confirmed heartbeat of this process as leader
 * @param onSuperseded called when a host or the store knows a later term
 * @param requestHeartbeat called when starting jobs waits for the announcement of started jobs
 */
public record SchedulingPorts(
        RecordStore store,
        HostOrders hosts,
        MachineOrders machines,
        Advisor advisor,
        RegistryFormat registry,
        OperatorFeed operator,
        TimerService timers,
        WorkCodec codec,
        DecisionLog log,
        LongSupplier unconfirmedMilliseconds,
        Runnable onSuperseded,
        Runnable requestHeartbeat) {}
