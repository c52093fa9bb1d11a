package org.cicadalead.ports;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The outside policy that says which hosts may run a step. Implementations are safe for use by several threads. */
public interface Advisor {
    /**
     * Asks which hosts may run a step.
     *
     * @param step the step in text form
     * @param hosts identifiers of hosts
     * @return tickets by host of those that may run it; empty when no answer came
     */
    CompletableFuture<Optional<Map<String, String>>> ask(String step, List<String> hosts);
}
