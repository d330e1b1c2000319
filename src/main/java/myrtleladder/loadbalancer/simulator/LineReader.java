package myrtleladder.loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines without creating a string for each. Not thread-safe. */
final class LineReader {
    /** Initial buffer size in bytes. The buffer doubles when a line does not fit. */
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    /** Index of the first byte of the current line in the buffer. */
    private int start;

    /** Index of the line feed that ends the current line. */
    private int end;

    /** Number of valid bytes in the buffer. */
    private int validBytes;

    private boolean isEndOfStream;

    LineReader(InputStream in) {
        this.in = in;
    }

    /**
     * Advances to the next line; returns false at the end of the stream. The last line may lack a
     * line feed.
     */
    boolean next() throws IOException {
        start = end == 0 ? 0 : Math.min(end + 1, validBytes);
        int scanned = start;
        while (true) {
            for (; scanned < validBytes; scanned++) {
                if (buffer[scanned] == '\n') {
                    end = scanned;
                    return true;
                }
            }
            if (isEndOfStream) {
                end = validBytes;
                return validBytes > start;
            }
            scanned -= compact();
            int count = in.read(buffer, validBytes, buffer.length - validBytes);
            isEndOfStream = count < 0;
            validBytes += Math.max(count, 0);
        }
    }

    /**
     * Frees space at the end of the buffer: moves the current line to the front and doubles the
     * buffer if it is full. Returns the number of bytes by which the line moved.
     */
    private int compact() {
        int moved = start;
        System.arraycopy(buffer, start, buffer, 0, validBytes - start);
        validBytes -= start;
        start = 0;
        end = 0;
        if (validBytes == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        return moved;
    }

    /** Returns an array that begins with the current line; valid until {@link #next}. */
    byte[] bytes() {
        return start == 0 ? buffer : Arrays.copyOfRange(buffer, start, end);
    }

    /** Returns the length of the current line in bytes. */
    int length() {
        return end - start;
    }
}
