package myrtleladder.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A fault at a point, in a process of the lab: {@code POINT:pass:CRASH:who:file} ends the process
 * there as a kill would, {@code POINT:pass:STAND:who:file} has its event loop stand still. All
 * processes of a fleet are told the same but for who they are; the first one that comes there makes
 * the file, which names it, and the fault is its own.
 */
public final class FaultPointTrigger implements Consumer<Enum<?>> {
    /** The property that only the lab sets. */
    public static final String PROPERTY = "myrtleladder.testbed.fault";

    /** Longer than any timer of membership or agreement. */
    private static final long STAND_MS = 12_000;

    private static final int KILLED = 137;
    private static final int PARTS = 5;

    private enum Kind {
        CRASH,
        STAND
    }

    private final String point;
    private final Kind kind;
    private final String who;
    private final Path file;
    private int left;

    private FaultPointTrigger(String point, int pass, Kind kind, String who, Path file) {
        this.point = point;
        this.left = pass;
        this.kind = kind;
        this.who = who;
        this.file = file;
    }

    /** Reads the property; without one nothing ever happens. */
    public static Consumer<Enum<?>> of(String property) {
        if (property == null) {
            return p -> {};
        }
        String[] parts = property.split(":", PARTS);
        if (parts.length < PARTS) {
            throw new IllegalArgumentException(
                    PROPERTY + " is not POINT:pass:KIND:who:file: " + property);
        }
        return new FaultPointTrigger(
                parts[0],
                Integer.parseInt(parts[1]),
                Kind.valueOf(parts[2]),
                parts[3],
                Path.of(parts[4]));
    }

    @Override
    public void accept(Enum<?> passed) {
        if (!passed.name().equals(point) || left == 0 || --left > 0) {
            return;
        }
        try {
            Files.writeString(file, who, StandardOpenOption.CREATE_NEW);
        } catch (FileAlreadyExistsException e) {
            return; // another process was first
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (kind == Kind.CRASH) {
            Runtime.getRuntime().halt(KILLED);
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STAND_MS);
        for (long rest = until - System.nanoTime(); rest > 0; rest = until - System.nanoTime()) {
            LockSupport.parkNanos(rest);
        }
    }
}
