package yewyoke.process;

import java.lang.reflect.Proxy;
import yewyoke.io.ResultCode;

/**
 * The platform's signals. Java offers them through {@code sun.misc.Signal} alone, against which the compiler
 * warns without a way to say that it is meant; so it is called by name.
 */
public final class Signals {
    private Signals() { }

    /** Runs a task, on a thread of the platform, at each signal of a name such as TERM. */
    public static void on(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object runs = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object named = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, named, runs);
        } catch (ReflectiveOperationException e) {
            throw new SettingsException(ResultCode.USAGE, "signal " + name + " can't be handled: " + e);
        }
    }
}
