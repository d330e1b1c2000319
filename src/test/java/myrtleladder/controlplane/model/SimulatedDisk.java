package myrtleladder.controlplane.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.TallyAddition;
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
    private boolean isTallyLogComplete;
    private final List<TallyAddition> syncedAdditions = new ArrayList<>();
    private boolean isWriting;
    private int interruptions;

    private record Save(Runnable write, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {}

    SimulatedDisk(ManualScheduler clock, SplittableRandom random, boolean isAnsweringBeforeSync) {
        this.clock = clock;
        this.random = random;
        this.isAnsweringBeforeSync = isAnsweringBeforeSync;
    }

    /** The state that a start reads, null on an empty disk. */
    StoredState load() {
        return synced == null ? null : (StoredState) MessageCodec.decode(synced);
    }

    /** The additions to tallies that a start reads. */
    List<TallyAddition> loadAdditions() {
        return List.copyOf(syncedAdditions);
    }

    void append(
            List<TallyAddition> additions, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {
        List<TallyAddition> copy = List.copyOf(additions);
        saves.add(new Save(() -> syncedAdditions.addAll(copy), isProcessAlive, done));
        writeNext();
    }

    /** What a start does before anything else: whether the log of tallies is complete. */
    boolean prepareTallyLog(boolean isBootstrap) {
        isTallyLogComplete |= isBootstrap;
        return isTallyLogComplete;
    }

    void markTallyLogComplete(BooleanSupplier isProcessAlive) {
        saves.add(new Save(() -> isTallyLogComplete = true, isProcessAlive, isSaved -> {}));
        writeNext();
    }

    void setMode(Mode next) {
        mode = next;
        writeNext();
    }

    void save(StoredState state, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {
        byte[] bytes = MessageCodec.encode(state);
        Runnable write = () -> synced = bytes;
        if (isAnsweringBeforeSync && mode == Mode.SOUND) {
            saves.add(new Save(write, isProcessAlive, isSaved -> {}));
            clock.schedule(0, () -> done.accept(true));
        } else {
            saves.add(new Save(write, isProcessAlive, done));
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
            save.write().run();
        }
        if (save.isProcessAlive().getAsBoolean()) {
            save.done().accept(isSaved);
        }
        writeNext();
    }

    /** The process or its power is gone: of the states being written some of the first remain. */
    void interrupt() {
        while (!saves.isEmpty() && mode != Mode.FULL && random.nextInt(3) == 0) {
            saves.poll().write().run();
        }
        saves.clear();
        isWriting = false;
        interruptions++;
    }

    /** The disk is replaced by an empty one. */
    void wipe() {
        interrupt();
        synced = null;
        syncedAdditions.clear();
        isTallyLogComplete = false;
    }
}
