package myrtleladder.loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines without making a string of each. Not safe for several threads. */
final class LineReader {
    /** Size of the buffer in bytes at first; it doubles for longer lines. */
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    /** Start of the current line in the buffer. */
    private int start;

    /** End of the current line, where its line feed is. */
    private int end;

    /** End of what has been read. */
    private int filled;

    private boolean hasEnded;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves on to the next line; returns false at the end. The last line needs no line feed. */
    boolean next() throws IOException {
        start = end == 0 ? 0 : Math.min(end + 1, filled);
        int scanned = start;
        while (true) {
            for (; scanned < filled; scanned++) {
                if (buffer[scanned] == '\n') {
                    end = scanned;
                    return true;
                }
            }
            if (hasEnded) {
                end = filled;
                return filled > start;
            }
            scanned -= compact();
            int count = in.read(buffer, filled, buffer.length - filled);
            hasEnded = count < 0;
            filled += Math.max(count, 0);
        }
    }

    /** Makes room behind what has been read. Returns by how much that has moved to the front. */
    private int compact() {
        int moved = start;
        System.arraycopy(buffer, start, buffer, 0, filled - start);
        filled -= start;
        start = 0;
        end = 0;
        if (filled == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        return moved;
    }

    /** The current line, from the start of the array; valid until {@link #next}. */
    byte[] bytes() {
        return start == 0 ? buffer : Arrays.copyOfRange(buffer, start, end);
    }

    /** The length of the current line in bytes. */
    int length() {
        return end - start;
    }
}
