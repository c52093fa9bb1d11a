package org.cicadalead.adapters.event;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets the log of this program up: to standard error, in one form, from one level on. Stateless. */
public final class LogSetup {
    private LogSetup() {}

    /** Replaces the handlers of the root logger. */
    public static void install(LogFormat format, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new EventLogFormatter(format));
        handler.setLevel(level);
        root.setLevel(level);
        root.addHandler(handler);
    }
}
