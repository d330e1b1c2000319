package myrtleladder.error;

import java.lang.reflect.Constructor;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import myrtleladder.loadbalancer.policy.Golden;
import org.junit.jupiter.api.Test;

/**
 * Pins the table of error codes: each code once, with the whole message. Logs are searched for the
 * codes and runbooks refer to them, so a code keeps its meaning and is never given away again.
 */
class ErrorCodesCompatibilityTest {

    /** Stands for an argument of its type, at its place among the arguments. */
    private static Object sample(Class<?> type, int place) {
        if (type == int.class) {
            return 10 + place;
        } else if (type == long.class) {
            return 10L + place;
        } else if (type == Path.class) {
            return Path.of("file");
        } else if (type == SocketAddress.class) {
            return InetSocketAddress.createUnresolved("host", 1);
        } else if (type == Throwable.class) {
            return new IllegalStateException("cause");
        }
        return "text" + place;
    }

    @Test
    void eachCodeHasItsMessage() throws Exception {
        List<String> lines = new ArrayList<>();
        for (Class<?> type : OperatorError.class.getPermittedSubclasses()) {
            Constructor<?> made = type.getConstructors()[0];
            Class<?>[] types = made.getParameterTypes();
            Object[] arguments = new Object[types.length];
            for (int i = 0; i < types.length; i++) {
                arguments[i] = sample(types[i], i);
            }
            OperatorError error = (OperatorError) made.newInstance(arguments);
            lines.add(
                    error.code()
                            + "|"
                            + error.what()
                            + "|"
                            + error.remedy()
                            + "\n    "
                            + error.getMessage()
                            + "\n");
        }
        Collections.sort(lines);
        Golden.assertMatches("error/codes.txt", String.join("", lines));
    }
}
