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
 * Causes a fault when a process of the test bed passes a fault point for the n-th time: {@code
 * POINT:pass:CRASH:process:file} ends the process as a kill would, {@code
 * POINT:pass:STAND:process:file} stalls its event loop.
 *
 * <p>All processes of a fleet are given the same fault, apart from their names. The first that
 * passes the point creates the file, with its name in it, and the others do nothing. Called on the
 * event loop alone.
 */
public final class FaultPointTrigger implements Consumer<Enum<?>> {
    /** The system property that only the test bed sets. */
    public static final String PROPERTY = "myrtleladder.testbed.fault";

    /** Longer than any timer of membership or consensus. */
    private static final long STALL_MS = 12_000;

    /** The exit status that a shell reports for SIGKILL (128 + 9). */
    private static final int KILLED_STATUS = 137;

    /** Parts of the property. */
    private static final int PARTS = 5;

    /** What happens; the names are part of the property. */
    private enum Kind {
        /** The process ends at once. */
        CRASH,
        /** The event loop stalls. */
        STAND
    }

    private final String point;
    private final Kind kind;
    private final String process;
    private final Path file;
    private int passesLeft;

    private FaultPointTrigger(String point, int pass, Kind kind, String process, Path file) {
        this.point = point;
        this.passesLeft = pass;
        this.kind = kind;
        this.process = process;
        this.file = file;
    }

    /**
     * Parses a value of the property; null gives a consumer that does nothing.
     *
     * @throws IllegalArgumentException if the value does not have all parts
     */
    public static Consumer<Enum<?>> of(String property) {
        if (property == null) {
            return point -> {};
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
        if (!passed.name().equals(point) || passesLeft == 0) {
            return;
        }
        passesLeft--;
        if (passesLeft == 0 && createFile()) {
            causeFault();
        }
    }

    /** Whether this process is the first of the fleet at the point. */
    private boolean createFile() {
        try {
            Files.writeString(file, process, StandardOpenOption.CREATE_NEW);
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void causeFault() {
        if (kind == Kind.CRASH) {
            Runtime.getRuntime().halt(KILLED_STATUS);
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
        long leftNanos = endNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = endNanos - System.nanoTime();
        }
    }
}
