package org.cicadalead.adapters.event;

import java.util.logging.LogManager;

/**
 * A log manager that goes on writing during the shutdown of the program. The JDK's own closes all handlers in a
 * shutdown hook of its own, and the events of a graceful shutdown would be lost. Safe for use by several threads.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** System property by which the JDK finds the log manager. */
    public static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

    /** Does nothing, as the JDK calls this at the start of the shutdown; handlers write through without a buffer. */
    @Override
    public void reset() {
        // Handlers stay open until the process ends.
    }
}
