package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A disk that can be told to refuse operations, after a part of the write if wanted. */
final class FailingLogFileAccess extends LogFileAccess {
    boolean failsToForce;
    boolean failsToTruncate;
    int forces;

    /** How many bytes are still written; -1 for no bound. */
    int writableBytes = -1;

    @Override
    void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
        if (writableBytes >= 0 && writableBytes < bytes.remaining()) {
            super.write(channel, bytes.slice(0, writableBytes), position);
            throw new IOException("No space left on device");
        }
        super.write(channel, bytes, position);
    }

    @Override
    void force(FileChannel channel) throws IOException {
        forces++;
        if (failsToForce) {
            throw new IOException("Input/output error");
        }
        super.force(channel);
    }

    @Override
    void truncate(FileChannel channel, long length) throws IOException {
        if (failsToTruncate) {
            throw new IOException("Input/output error");
        }
        super.truncate(channel, length);
    }
}
