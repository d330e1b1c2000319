package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.StateStorage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Saves states on a thread of its own, since a disk may take seconds. States that arrive while one
 * is written are written at once, as the newest one includes the others (group commit).
 *
 * <p>{@link #save} may be called from any thread; callbacks run on the event loop. The writer
 * thread alone uses the {@link StateStore} once it is started.
 */
public final class AsyncStateWriter implements StateStorage {
    private static final Logger LOG = LogManager.getLogger(AsyncStateWriter.class);
    private static final String THREAD_NAME = "disk";

    private final EventLoop loop;
    private final StateStore store;
    private final Object lock = new Object();

    /** The next state to write, null for none. Guarded by {@link #lock}. */
    private StoredState pending;

    /** Wait for {@link #pending}. Guarded by {@link #lock}. */
    private List<Consumer<Boolean>> pendingCallbacks = new ArrayList<>();

    /** What one write saves, and who is told of its result. */
    private record Batch(StoredState state, List<Consumer<Boolean>> callbacks) {}

    /** Creates a writer; it writes from {@link #start} on. */
    public AsyncStateWriter(EventLoop loop, StateStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Starts the thread; to be called once. */
    public void start() {
        Thread thread = new Thread(this::run, THREAD_NAME);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void save(StoredState state, Consumer<Boolean> done) {
        synchronized (lock) {
            pending = state;
            pendingCallbacks.add(done);
            lock.notifyAll();
        }
    }

    private void run() {
        try {
            while (true) {
                Batch batch = awaitBatch();
                boolean isSaved = write(batch.state());
                loop.execute(() -> batch.callbacks().forEach(done -> done.accept(isSaved)));
            }
        } catch (InterruptedException e) {
            // the thread is asked to end
            Thread.currentThread().interrupt();
        }
    }

    private Batch awaitBatch() throws InterruptedException {
        synchronized (lock) {
            while (pending == null) {
                lock.wait();
            }
            Batch batch = new Batch(pending, pendingCallbacks);
            pending = null;
            pendingCallbacks = new ArrayList<>();
            return batch;
        }
    }

    private boolean write(StoredState state) {
        try {
            store.save(state);
            return true;
        } catch (RuntimeException e) {
            // whatever fails, the state is not on the disk, and the thread has to go on
            LOG.error("the state is not saved: {}", e.toString());
            return false;
        }
    }
}
