package myrtleladder.signal;

import java.lang.reflect.Proxy;

/**
 * Installs handlers for process signals such as HUP, which terminates a JVM that has no handler for
 * it. The platform's only API for this is {@code sun.misc.Signal}. It is called by reflection
 * because the compiler warns about any direct use and this build treats warnings as errors.
 */
public final class Signals {
    private Signals() {}

    /**
     * Sets the handler for a signal.
     *
     * @param name the name of the signal without the prefix SIG, such as HUP
     * @param action runs on a JVM thread each time the signal arrives
     * @throws ReflectiveOperationException if the platform does not support this signal, or signals
     *     at all
     */
    public static void setHandler(String name, Runnable action)
            throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object proxy =
                Proxy.newProxyInstance(
                        Signals.class.getClassLoader(),
                        new Class<?>[] {handler},
                        (self, method, args) -> {
                            if (method.getName().equals("handle")) {
                                action.run();
                            }
                            return null;
                        });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
    }
}
