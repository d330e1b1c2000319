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
 * Compares all error codes and their messages with a recorded table. Log searches and runbooks
 * depend on the codes, so a code must keep its meaning and never be reused.
 */
class ErrorCodesCompatibilityTest {

    /** Returns a sample constructor argument of the given type; its index makes it distinct. */
    private static Object sample(Class<?> type, int index) {
        if (type == int.class) {
            return 10 + index;
        } else if (type == long.class) {
            return 10L + index;
        } else if (type == Path.class) {
            return Path.of("file");
        } else if (type == SocketAddress.class) {
            return InetSocketAddress.createUnresolved("host", 1);
        } else if (type == Throwable.class) {
            return new IllegalStateException("cause");
        }
        return "text" + index;
    }

    @Test
    void eachCodeHasItsMessage() throws Exception {
        List<String> lines = new ArrayList<>();
        for (Class<?> type : OperatorError.class.getPermittedSubclasses()) {
            Constructor<?> constructor = type.getConstructors()[0];
            Class<?>[] types = constructor.getParameterTypes();
            Object[] arguments = new Object[types.length];
            for (int i = 0; i < types.length; i++) {
                arguments[i] = sample(types[i], i);
            }
            OperatorError error = (OperatorError) constructor.newInstance(arguments);
            lines.add(
                    error.code()
                            + "|"
                            + error.description()
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
