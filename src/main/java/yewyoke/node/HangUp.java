package yewyoke.node;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a JVM that does not handle it. The platform offers nothing but {@code sun.misc.Signal}
 * for that; it is reached by name since the compiler warns of any use and warnings are errors here.
 */
final class HangUp {
    private HangUp() { }

    /** Runs the action at each SIGHUP from now on, on a thread of the JVM's. */
    static void handle(Runnable action) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(HangUp.class.getClassLoader(), new Class<?>[] {handler},
                (self, method, args) -> {
                    if (method.getName().equals("handle")) {
                        action.run();
                    }
                    return null;
                });
        signal.getMethod("handle", signal, handler).invoke(null,
                signal.getConstructor(String.class).newInstance("HUP"), proxy);
    }
}
