package org.cicadalead.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * Handles signals of the operating system. The JDK's only interface for this lies in its module of unsupported classes,
 * against which the compiler always warns; it is called by reflection, as warnings are errors here. Stateless.
 */
final class ProcessSignals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private ProcessSignals() {}

    /** Calls back at every signal of a name, such as {@code HUP}, instead of what the Java virtual machine does. */
    static void handle(String name, Runnable callback) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handler = Class.forName(HANDLER_CLASS);
            InvocationHandler invocation = (proxy, method, arguments) -> {
                callback.run();
                return null;
            };
            Object listener = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, invocation);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), listener);
        } catch (ReflectiveOperationException unavailable) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The signal " + name + " cannot be handled", unavailable);
        }
    }
}
