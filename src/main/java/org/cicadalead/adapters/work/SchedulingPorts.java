package org.cicadalead.adapters.work;

import java.util.function.LongSupplier;
import org.cicadalead.ports.Advisor;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.MachineOrders;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.TimerService;

/**
 * What scheduling works through. Immutable.
 *
 * @param store the platform's store
 * @param hosts orders to hosts
 * @param machines orders for machines
 * @param advisor the outside policy on hosts
 * @param registry reads the registry of hosts and writes what operators read
 * @param operator what the operator has written
 * @param timers time
 * @param codec forms of records
 * @param log decisions
 * @param unconfirmedMilliseconds time since the last confirmed heartbeat of this process as leader
 * @param onSuperseded called when a host knows a later term
 * @param requestHeartbeat called when the statement on started jobs is waited for
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
