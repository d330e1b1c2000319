package myrtleladder.controlplane.model;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.ManualScheduler;

/**
 * A disk that syncs one state after the other. At a loss of power a state on its way is there whole
 * or not: one that is torn fails its checksum, and the one before it still stands.
 */
final class SimulatedDisk {
    private static final long SYNC = 5;
    private static final long SLOW_SYNC = 150;

    /** What the disk does. */
    enum Mode {
        SOUND,
        SLOW,
        STALLED,
        FULL
    }

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final boolean answersBeforeSync;
    private final ArrayDeque<Save> saves = new ArrayDeque<>();
    private Mode mode = Mode.SOUND;
    private byte[] synced;
    private boolean working;
    private int generation;

    private record Save(byte[] bytes, BooleanSupplier processLives, Consumer<Boolean> done) {}

    SimulatedDisk(ManualScheduler clock, SplittableRandom random, boolean answersBeforeSync) {
        this.clock = clock;
        this.random = random;
        this.answersBeforeSync = answersBeforeSync;
    }

    /** The state that a start reads, null on an empty disk. */
    StoredState load() {
        return synced == null ? null : (StoredState) MessageCodec.decode(synced);
    }

    void mode(Mode next) {
        mode = next;
        work();
    }

    void save(StoredState state, BooleanSupplier processLives, Consumer<Boolean> done) {
        byte[] bytes = MessageCodec.encode(state);
        if (answersBeforeSync && mode == Mode.SOUND) {
            saves.add(new Save(bytes, processLives, ok -> {}));
            clock.schedule(0, () -> done.accept(true));
        } else {
            saves.add(new Save(bytes, processLives, done));
        }
        work();
    }

    private void work() {
        if (working || saves.isEmpty() || mode == Mode.STALLED) {
            return;
        }
        working = true;
        int mine = generation;
        long span = mode == Mode.SLOW ? SLOW_SYNC : answersBeforeSync ? 20 * SYNC : SYNC;
        clock.schedule(span + random.nextInt(3), () -> complete(mine));
    }

    private void complete(int mine) {
        if (mine != generation) {
            return;
        }
        working = false;
        if (mode == Mode.STALLED) {
            return;
        }
        Save save = saves.poll();
        boolean ok = mode != Mode.FULL;
        if (ok) {
            synced = save.bytes();
        }
        if (save.processLives().getAsBoolean()) {
            save.done().accept(ok);
        }
        work();
    }

    /** The process or its power is gone: what was on its way is there up to some point. */
    void interrupt() {
        while (!saves.isEmpty() && mode != Mode.FULL && random.nextInt(3) == 0) {
            synced = saves.poll().bytes();
        }
        saves.clear();
        working = false;
        generation++;
    }

    /** The disk is replaced by an empty one. */
    void wipe() {
        interrupt();
        synced = null;
    }
}
