package org.cicadalead.adapters.job;

import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;

/** Appends commands to the platform log. Implementations are safe for use by several threads and never block. */
@FunctionalInterface
public interface CommandSink {
    /**
     * Appends a command; the result completes with the fold's outcome, or exceptionally with a
     * {@link org.cicadalead.model.error.CicadaleadException} of kind {@code PLATFORM_UNAVAILABLE} when nothing was
     * appended, or {@code LOG_OUTCOME_UNKNOWN}.
     */
    CompletableFuture<CommandOutcome> submit(Command command);
}
