package myrtleladder.loadbalancer.server;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Delivers events to the decision module one at a time. An event that occurs while another one is
 * handled (for example, the end of a cancelled attempt) is queued, so that the module is never
 * re-entered.
 *
 * <p>Confined to the event loop.
 */
final class EventSerializer {
    private static final System.Logger LOG = System.getLogger(EventSerializer.class.getName());

    private final Deque<Runnable> pending = new ArrayDeque<>();
    private boolean isRunning;

    /**
     * Runs the event now, or after the events in progress. Runtime exceptions of an event are
     * logged and not propagated.
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
            // If the event belongs to a request, the deadline timer still answers it.
            LOG.log(System.Logger.Level.ERROR, "the module failed on an event", e);
        }
    }
}
