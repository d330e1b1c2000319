package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.Storage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Saves on a thread of its own, since a disk may take seconds. What waits while one save is under
 * way is written at once, as the newest state includes it.
 */
public final class DiskThread implements Storage {
    private static final Logger LOG = LogManager.getLogger(DiskThread.class);

    private final EventLoop loop;
    private final GenerationStore store;
    private final Object lock = new Object();
    private StoredState waiting;
    private List<Consumer<Boolean>> waitingFor = new ArrayList<>();

    /** Creates a saver; it works from {@link #start} on. */
    public DiskThread(EventLoop loop, GenerationStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Starts the thread. */
    public void start() {
        Thread thread = new Thread(this::run, "disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void save(StoredState state, Consumer<Boolean> done) {
        synchronized (lock) {
            waiting = state;
            waitingFor.add(done);
            lock.notifyAll();
        }
    }

    private void run() {
        while (true) {
            StoredState state;
            List<Consumer<Boolean>> listeners;
            synchronized (lock) {
                while (waiting == null) {
                    try {
                        lock.wait();
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                state = waiting;
                listeners = waitingFor;
                waiting = null;
                waitingFor = new ArrayList<>();
            }
            boolean saved = save(state);
            loop.execute(() -> listeners.forEach(l -> l.accept(saved)));
        }
    }

    private boolean save(StoredState state) {
        try {
            store.save(state);
            return true;
        } catch (RuntimeException e) {
            LOG.error("the state is not saved: {}", e.toString());
            return false;
        }
    }
}
