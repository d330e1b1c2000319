package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** File operations of the tally log. Tests override them to inject failures. */
class LogFileAccess {
    /** Writes all bytes, starting at a position of the file. */
    void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
        long next = position;
        while (bytes.hasRemaining()) {
            next += channel.write(bytes, next);
        }
    }

    /** Syncs the written bytes and the length of the file to disk. */
    void force(FileChannel channel) throws IOException {
        channel.force(false);
    }

    /** Truncates the file to a length in bytes. */
    void truncate(FileChannel channel, long length) throws IOException {
        channel.truncate(length);
    }
}
