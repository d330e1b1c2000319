package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A disk whose operations a test can make fail; a write may fail after some of its bytes. */
final class FailingLogFileAccess extends LogFileAccess {
    boolean failsToForce;
    boolean failsToTruncate;
    int forces;

    /** How many bytes a write stores before it fails; -1 for no limit. */
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
