package myrtleladder.signal;

import java.lang.reflect.Proxy;

/**
 * Handles signals such as HUP, which ends a JVM without a handler. The platform has nothing but
 * {@code sun.misc.Signal} for that; it is called by reflection since the compiler warns of any use
 * and warnings are errors here.
 */
public final class Signals {
    private Signals() {}

    /**
     * Sets the handler of a signal.
     *
     * @param name the name of the signal without SIG, such as HUP
     * @param action runs at each signal, on a thread of the JVM
     * @throws ReflectiveOperationException if the platform has no such signal or no signals
     */
    public static void on(String name, Runnable action) throws ReflectiveOperationException {
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
