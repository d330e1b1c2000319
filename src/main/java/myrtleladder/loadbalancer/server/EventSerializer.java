package myrtleladder.loadbalancer.server;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Hands the decision module one event at a time. An event that arises while another one is being
 * handled (a cancelled attempt ends at once, for example) waits for its end, so that the module is
 * never entered twice.
 *
 * <p>Confined to the event loop.
 */
final class EventSerializer {
    private static final System.Logger LOG = System.getLogger(EventSerializer.class.getName());

    private final Deque<Runnable> pending = new ArrayDeque<>();
    private boolean isRunning;

    /**
     * Runs the event now, or after those that are being handled. What an event throws is logged and
     * goes no further.
     */
    void run(Runnable event) {
        pending.add(event);
        if (isRunning) {
            return;
        }
        isRunning = true;
        try {
            for (Runnable next = pending.poll(); next != null; next = pending.poll()) {
                runLogged(next);
            }
        } finally {
            isRunning = false;
        }
    }

    private static void runLogged(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            // The request of this event, if any, is still answered at its deadline.
            LOG.log(System.Logger.Level.ERROR, "the module failed on an event", e);
        }
    }
}
