package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** The operations of a log that change its file; tests override some of them to fail. */
class LogFileAccess {
    /** Writes all of the bytes from a position on. */
    void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
        long next = position;
        while (bytes.hasRemaining()) {
            next += channel.write(bytes, next);
        }
    }

    /** Syncs what was written, and the length of the file. */
    void force(FileChannel channel) throws IOException {
        channel.force(false);
    }

    /** Cuts off what lies beyond a length. */
    void truncate(FileChannel channel, long length) throws IOException {
        channel.truncate(length);
    }
}
