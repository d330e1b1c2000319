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
 * Appends additions on a thread of its own, since a disk may take seconds. All that arrives during
 * a write is appended with the next write and its one sync (group commit); it is durable or fails
 * as a whole. A failed append is not repeated here.
 *
 * <p>{@link #append} may be called from any thread; callbacks run on the event loop in the order of
 * the appends. The writer thread alone uses the {@link TallyLog} once it is started.
 */
public final class AsyncTallyWriter implements TallyStorage {
    private static final Logger LOG = LogManager.getLogger(AsyncTallyWriter.class);
    private static final String THREAD_NAME = "tally-disk";

    private final Executor loop;
    private final TallyLog log;
    private final Object lock = new Object();

    /** What the next write appends. Guarded by {@link #lock}. */
    private Batch pending = new Batch();

    /** What one write appends, and who is told of its result. */
    private static final class Batch {
        private final List<TallyAddition> additions = new ArrayList<>();
        private final List<Consumer<Boolean>> callbacks = new ArrayList<>();
        private boolean isComplete;
    }

    /**
     * Creates a writer; it writes from {@link #start} on.
     *
     * @param loop runs tasks in order on the event loop
     */
    public AsyncTallyWriter(Executor loop, TallyLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Starts the thread; to be called once. */
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
                loop.execute(() -> batch.callbacks.forEach(done -> done.accept(isDurable)));
            }
        } catch (InterruptedException e) {
            // the thread is asked to end
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
        } catch (RuntimeException e) {
            // whatever fails, the additions are not on the disk, and the thread has to go on
            LOG.error("{} additions are not saved: {}", batch.additions.size(), e.toString());
            return false;
        }
    }
}
