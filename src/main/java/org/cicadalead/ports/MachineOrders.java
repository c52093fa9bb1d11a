package org.cicadalead.ports;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;

/**
 * Lists machines and sends orders for them. The returned futures never complete exceptionally. Implementations are safe
 * for use by several threads.
 */
public interface MachineOrders {
    /** Lists all machines; empty if the list could not be read completely. */
    CompletableFuture<Optional<List<MachineEntry>>> list();

    /** Returns how many orders for machines the platform accepts in a second. */
    double maximumOrdersPerSecond();

    /** Takes a machine down for the maintenance of a wave. */
    CompletableFuture<MachineOutcome> maintain(String machine, long wave, long epoch);

    /** Moves a machine to another pool. */
    CompletableFuture<MachineOutcome> move(String machine, String pool, long epoch);
}
