package org.cicadalead.adapters.event;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the log of this program: standard error, one format and a minimum level. Stateless. */
public final class LogSetup {
    private LogSetup() {}

    /** Replaces all handlers of the root logger by one with the given format and minimum level. */
    public static void install(LogFormat format, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler previousHandler : root.getHandlers()) {
            root.removeHandler(previousHandler);
        }
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new EventLogFormatter(format));
        handler.setLevel(level);
        root.setLevel(level);
        root.addHandler(handler);
    }
}
