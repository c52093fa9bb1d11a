package org.cicadalead.ports;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Queries the external policy that selects the hosts for a step. Implementations are safe for use by several threads.
 */
public interface Advisor {
    /**
     * Asks which hosts may run a step.
     *
     * @param step the step in text form
     * @param hosts identifiers of hosts
     * @return tickets of the hosts that may run the step, by host; empty if there was no response
     */
    CompletableFuture<Optional<Map<String, String>>> ask(String step, List<String> hosts);
}
