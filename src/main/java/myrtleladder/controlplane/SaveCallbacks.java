package myrtleladder.controlplane;

import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Reports the result of a write to all callers that wait for it. Stateless. */
final class SaveCallbacks {
    private static final Logger LOG = LogManager.getLogger(SaveCallbacks.class);

    private SaveCallbacks() {}

    /** Calls each callback in order, also if one of them throws an exception, which is logged. */
    static void completeAll(List<Consumer<Boolean>> callbacks, boolean isSaved) {
        for (Consumer<Boolean> callback : callbacks) {
            try {
                callback.accept(isSaved);
            } catch (RuntimeException | Error e) {
                LOG.error("failed to process the result of a write", e);
            }
        }
    }
}
