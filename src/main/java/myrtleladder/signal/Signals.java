package myrtleladder.signal;

import java.lang.reflect.Proxy;

/**
 * Signals such as HUP, which ends a JVM that does not handle it. The platform offers nothing but
 * {@code sun.misc.Signal} for that; it is reached by name since the compiler warns of any use and
 * warnings are errors here.
 */
public final class Signals {
    private Signals() {}

    /** Runs the action at each signal of a name from now on, on a thread of the JVM's. */
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
