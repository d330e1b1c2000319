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
 * Saves states on a dedicated thread, since a disk write may take seconds. Of the states that
 * arrive during a write, only the newest is written next, because it includes the others (group
 * commit).
 *
 * <p>{@link #save} may be called from any thread; callbacks run on the event loop. Once the writer
 * thread is started, no other thread may use the {@link StateStore}.
 */
public final class AsyncStateWriter implements StateStorage {
    private static final Logger LOG = LogManager.getLogger(AsyncStateWriter.class);
    private static final String THREAD_NAME = "disk";

    private final EventLoop loop;
    private final StateStore store;
    private final Object lock = new Object();

    /** The next state to write, or null if there is none. Guarded by {@link #lock}. */
    private StoredState pending;

    /**
     * The callbacks that receive the result of saving {@link #pending}. Guarded by {@link #lock}.
     */
    private List<Consumer<Boolean>> pendingCallbacks = new ArrayList<>();

    /** A state to write and the callbacks that receive the result of the write. */
    private record Batch(StoredState state, List<Consumer<Boolean>> callbacks) {}

    /** Creates a writer that does nothing until {@link #start} is called. */
    public AsyncStateWriter(EventLoop loop, StateStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Starts the writer thread. Must be called once. */
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
                loop.execute(() -> SaveCallbacks.completeAll(batch.callbacks(), isSaved));
            }
        } catch (InterruptedException e) {
            // the interrupt ends the thread
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
        } catch (RuntimeException | Error e) {
            // after any failure the state counts as not saved, and the thread must keep running
            LOG.error("cannot save the replica state: {}", e.toString());
            return false;
        }
    }
}
