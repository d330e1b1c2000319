package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.tally.TallyStorage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Appends additions on a dedicated thread, since a disk write may take seconds. Additions that
 * arrive during a write are appended together by the next write with a single sync (group commit);
 * they become durable or fail together. A failed append is not retried here.
 *
 * <p>{@link #append} may be called from any thread; callbacks run on the event loop in the order of
 * the appends. Once the writer thread is started, no other thread may use the {@link TallyLog}.
 */
public final class AsyncTallyWriter implements TallyStorage {
    private static final Logger LOG = LogManager.getLogger(AsyncTallyWriter.class);
    private static final String THREAD_NAME = "tally-disk";

    private final Executor loop;
    private final TallyLog log;
    private final Object lock = new Object();

    /** The additions of the next write. Guarded by {@link #lock}. */
    private Batch pending = new Batch();

    /** The additions of one write and the callbacks that receive its result. */
    private static final class Batch {
        private final List<TallyAddition> additions = new ArrayList<>();
        private final List<Consumer<Boolean>> callbacks = new ArrayList<>();
        private boolean isComplete;
    }

    /**
     * Creates a writer that does nothing until {@link #start} is called.
     *
     * @param loop runs tasks on the event loop, in the order of submission
     */
    public AsyncTallyWriter(Executor loop, TallyLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Starts the writer thread. Must be called once. */
    public void start() {
        Thread thread = new Thread(this::run, THREAD_NAME);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void append(List<TallyAddition> additions, Consumer<Boolean> done) {
        synchronized (lock) {
            pending.additions.addAll(additions);
            pending.callbacks.add(done);
            lock.notifyAll();
        }
    }

    @Override
    public void markComplete() {
        synchronized (lock) {
            pending.isComplete = true;
            pending.callbacks.add(isDurable -> {});
            lock.notifyAll();
        }
    }

    private void run() {
        try {
            while (true) {
                Batch batch = awaitBatch();
                boolean isDurable = write(batch);
                loop.execute(() -> SaveCallbacks.completeAll(batch.callbacks, isDurable));
            }
        } catch (InterruptedException e) {
            // the interrupt ends the thread
            Thread.currentThread().interrupt();
        }
    }

    private Batch awaitBatch() throws InterruptedException {
        synchronized (lock) {
            while (pending.callbacks.isEmpty()) {
                lock.wait();
            }
            Batch batch = pending;
            pending = new Batch();
            return batch;
        }
    }

    private boolean write(Batch batch) {
        try {
            log.append(batch.additions);
            if (batch.isComplete) {
                log.markComplete();
            }
            return true;
        } catch (RuntimeException | Error e) {
            // after any failure the additions count as not saved, and the thread must keep running
            LOG.error("cannot save {} tally additions: {}", batch.additions.size(), e.toString());
            return false;
        }
    }
}
