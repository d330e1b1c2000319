package myrtleladder.http;

import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * The body of a request that is being received. Its capacity grows with what has arrived, never
 * with what the client has announced. Confined to the event loop.
 */
final class RequestBody {
    static final byte[] NO_BYTES = {};

    private byte[] bytes = NO_BYTES;
    private int size;

    /** Returns the number of bytes received. */
    int size() {
        return size;
    }

    /** Returns the number of bytes allocated. */
    int capacity() {
        return bytes.length;
    }

    /**
     * Returns the capacity that is needed to append bytes.
     *
     * @param maxSize the size that the body will not exceed
     */
    int capacityToAppend(int more, long maxSize) {
        int needed = size + more;
        if (needed <= bytes.length) {
            return bytes.length;
        }
        return (int) Math.max(needed, Math.min(maxSize, 2L * bytes.length));
    }

    /** Appends all bytes of a buffer, in an array of the given capacity at least. */
    void append(Buffer buffer, int capacity) {
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        int more = buffer.remaining();
        buffer.get(bytes, size, more);
        size += more;
    }

    /** Returns the bytes received, without a copy if they fill the capacity. */
    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }
}
