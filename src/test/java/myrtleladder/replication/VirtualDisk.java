package myrtleladder.replication;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.scheduler.Scheduler;

/**
 * The disk of a virtual node. Saves run one after the other, as on the thread of the real storage.
 */
final class VirtualDisk implements StateStorage {
    private static final long DEFAULT_SAVE_DURATION_MS = 5;
    private static final int SAVE_JITTER_MS = 3;

    private final SplittableRandom random;
    private final ArrayDeque<PendingSave> pendingSaves = new ArrayDeque<>();
    private Scheduler process;
    private byte[] content;
    private long busyUntilMs;
    private long saveDurationMs = DEFAULT_SAVE_DURATION_MS;
    private boolean full;

    private record PendingSave(byte[] bytes, Consumer<Boolean> done) {}

    VirtualDisk(SplittableRandom random) {
        this.random = random;
    }

    /** Attaches the disk to a new process. Pending saves of the previous process are lost. */
    void attach(Scheduler newProcess) {
        process = newProcess;
        busyUntilMs = 0;
        pendingSaves.clear();
    }

    @Override
    public void save(StoredState state, Consumer<Boolean> done) {
        pendingSaves.add(new PendingSave(MessageCodec.encode(state), done));
        long nowMs = process.now();
        busyUntilMs =
                Math.max(busyUntilMs, nowMs) + saveDurationMs + random.nextInt(SAVE_JITTER_MS);
        process.schedule(busyUntilMs - nowMs, this::completeOldest);
    }

    private void completeOldest() {
        PendingSave save = pendingSaves.poll();
        if (!full) {
            content = save.bytes();
        }
        save.done().accept(!full);
    }

    /** Returns the bytes saved last, null for an empty disk. */
    byte[] content() {
        return content;
    }

    /** Returns the state saved last, null for an empty disk. */
    StoredState load() {
        return content == null ? null : (StoredState) MessageCodec.decode(content);
    }

    /** Erases the disk. */
    void wipe() {
        content = null;
    }

    /** Makes every save fail from now on. */
    void fill() {
        full = true;
    }

    /** Makes every save from now on take this long and up to 2 ms more. */
    void slowDown(long durationMs) {
        saveDurationMs = durationMs;
    }

    /** Makes saves succeed again, in the default time. */
    void repair() {
        full = false;
        saveDurationMs = DEFAULT_SAVE_DURATION_MS;
    }
}
