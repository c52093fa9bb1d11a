package org.cicadalead.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * Handles signals of the operating system. The JDK offers only unsupported classes for this. The compiler always warns
 * about their use and warnings are errors in this build, so that they are called by reflection. Stateless.
 */
final class ProcessSignals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private ProcessSignals() {}

    /** Runs a callback at each signal with a name, such as {@code HUP}, in place of the JVM's default handler. */
    static void handle(String name, Runnable callback) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            InvocationHandler invocationHandler = (proxy, method, arguments) -> {
                callback.run();
                return null;
            };
            Object listener = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, invocationHandler);
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(name), listener);
        } catch (ReflectiveOperationException unavailable) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The signal " + name + " cannot be handled", unavailable);
        }
    }
}
