package myrtleladder.controlplane.model;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.ManualScheduler;

/**
 * A disk that syncs one state after the other. After a loss of power a state that was being written
 * is either complete or missing: a torn one fails its checksum, and the one before it remains.
 */
final class SimulatedDisk {
    private static final long SYNC_MS = 5;
    private static final long SLOW_SYNC_MS = 150;

    /** How late the disk is when responses do not wait for it. */
    private static final long LATE_SYNC_MS = 20 * SYNC_MS;

    /** How the disk behaves. */
    enum Mode {
        /** Syncs quickly. */
        SOUND,
        /** Syncs late. */
        SLOW,
        /** Does not sync and reports nothing. */
        STALLED,
        /** Reports each save as failed. */
        FULL
    }

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final boolean isAnsweringBeforeSync;
    private final ArrayDeque<Save> saves = new ArrayDeque<>();
    private Mode mode = Mode.SOUND;
    private byte[] synced;
    private boolean isWriting;
    private int interruptions;

    private record Save(byte[] bytes, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {}

    SimulatedDisk(ManualScheduler clock, SplittableRandom random, boolean isAnsweringBeforeSync) {
        this.clock = clock;
        this.random = random;
        this.isAnsweringBeforeSync = isAnsweringBeforeSync;
    }

    /** The state that a start reads, null on an empty disk. */
    StoredState load() {
        return synced == null ? null : (StoredState) MessageCodec.decode(synced);
    }

    void setMode(Mode next) {
        mode = next;
        writeNext();
    }

    void save(StoredState state, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {
        byte[] bytes = MessageCodec.encode(state);
        if (isAnsweringBeforeSync && mode == Mode.SOUND) {
            saves.add(new Save(bytes, isProcessAlive, isSaved -> {}));
            clock.schedule(0, () -> done.accept(true));
        } else {
            saves.add(new Save(bytes, isProcessAlive, done));
        }
        writeNext();
    }

    private void writeNext() {
        if (isWriting || saves.isEmpty() || mode == Mode.STALLED) {
            return;
        }
        isWriting = true;
        int startedIn = interruptions;
        long durationMs = syncMs();
        clock.schedule(durationMs + random.nextInt(3), () -> complete(startedIn));
    }

    private long syncMs() {
        if (mode == Mode.SLOW) {
            return SLOW_SYNC_MS;
        }
        return isAnsweringBeforeSync ? LATE_SYNC_MS : SYNC_MS;
    }

    private void complete(int startedIn) {
        if (startedIn != interruptions) {
            return;
        }
        isWriting = false;
        if (mode == Mode.STALLED) {
            return;
        }
        Save save = saves.poll();
        boolean isSaved = mode != Mode.FULL;
        if (isSaved) {
            synced = save.bytes();
        }
        if (save.isProcessAlive().getAsBoolean()) {
            save.done().accept(isSaved);
        }
        writeNext();
    }

    /** The process or its power is gone: of the states being written some of the first remain. */
    void interrupt() {
        while (!saves.isEmpty() && mode != Mode.FULL && random.nextInt(3) == 0) {
            synced = saves.poll().bytes();
        }
        saves.clear();
        isWriting = false;
        interruptions++;
    }

    /** The disk is replaced by an empty one. */
    void wipe() {
        interrupt();
        synced = null;
    }
}
