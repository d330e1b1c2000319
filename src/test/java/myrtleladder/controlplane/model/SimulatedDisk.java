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
 * A disk that syncs one write after the other. After a power failure a state that was being written
 * is either complete or missing: a torn state fails its checksum, and the previous one remains.
 */
final class SimulatedDisk {
    private static final long SYNC_MS = 5;
    private static final long SLOW_SYNC_MS = 150;

    /** The sync time if responses do not wait for the sync. */
    private static final long LATE_SYNC_MS = 20 * SYNC_MS;

    /** The behaviour of the disk. */
    enum Mode {
        /** Syncs quickly. */
        SOUND,
        /** Syncs slowly. */
        SLOW,
        /** Neither syncs nor reports a failure. */
        STALLED,
        /** Fails each write. */
        FULL
    }

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final boolean acknowledgesBeforeSync;
    private final ArrayDeque<Save> saves = new ArrayDeque<>();
    private Mode mode = Mode.SOUND;
    private byte[] syncedState;
    private boolean isTallyLogComplete;
    private final List<TallyAddition> syncedAdditions = new ArrayList<>();
    private boolean isWriting;
    private int interruptionCount;

    private record Save(Runnable write, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {}

    SimulatedDisk(ManualScheduler clock, SplittableRandom random, boolean acknowledgesBeforeSync) {
        this.clock = clock;
        this.random = random;
        this.acknowledgesBeforeSync = acknowledgesBeforeSync;
    }

    /** The state for a starting process, null on an empty disk. */
    StoredState load() {
        return syncedState == null ? null : (StoredState) MessageCodec.decode(syncedState);
    }

    /** The tally additions for a starting process. */
    List<TallyAddition> loadAdditions() {
        return List.copyOf(syncedAdditions);
    }

    void append(
            List<TallyAddition> additions, BooleanSupplier isProcessAlive, Consumer<Boolean> done) {
        List<TallyAddition> copy = List.copyOf(additions);
        saves.add(new Save(() -> syncedAdditions.addAll(copy), isProcessAlive, done));
        writeNext();
    }

    /** Prepares the tally log for a starting process; returns whether the log is complete. */
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
        Runnable write = () -> syncedState = bytes;
        if (acknowledgesBeforeSync && mode == Mode.SOUND) {
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
        int interruptionsAtStart = interruptionCount;
        long durationMs = syncMs();
        clock.schedule(durationMs + random.nextInt(3), () -> complete(interruptionsAtStart));
    }

    private long syncMs() {
        if (mode == Mode.SLOW) {
            return SLOW_SYNC_MS;
        }
        return acknowledgesBeforeSync ? LATE_SYNC_MS : SYNC_MS;
    }

    private void complete(int interruptionsAtStart) {
        if (interruptionsAtStart != interruptionCount) {
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

    /** Ends the process or its power: of the pending writes only a random prefix is kept. */
    void interrupt() {
        while (!saves.isEmpty() && mode != Mode.FULL && random.nextInt(3) == 0) {
            saves.poll().write().run();
        }
        saves.clear();
        isWriting = false;
        interruptionCount++;
    }

    /** Replaces the disk by an empty one. */
    void wipe() {
        interrupt();
        syncedState = null;
        syncedAdditions.clear();
        isTallyLogComplete = false;
    }
}
