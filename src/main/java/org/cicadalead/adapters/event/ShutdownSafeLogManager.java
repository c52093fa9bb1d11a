package org.cicadalead.adapters.event;

import java.util.logging.LogManager;

/**
 * Keeps log handlers open while the program shuts down. The JDK's own log manager closes all handlers in a shutdown
 * hook, so that the events of a graceful shutdown would be lost. Thread-safe.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** System property that names the class of the log manager to the JDK. */
    public static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

    /** Does nothing, because the JDK calls this method at the start of the shutdown. Handlers do not buffer records. */
    @Override
    public void reset() {
        // Handlers stay open until the process ends.
    }
}
