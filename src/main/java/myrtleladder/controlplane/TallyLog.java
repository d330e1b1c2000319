package myrtleladder.controlplane;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.result.ResultCode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The additions to tallies that a node keeps on its disk: a file of {@link TallyLogFormat} frames
 * that only grows. Each append is synced before it returns.
 *
 * <p>Invariants: the first {@link #durableLength} bytes are synced, intact and never written again;
 * what follows them was not acknowledged and is cut off before the next append.
 *
 * <p>Not thread-safe: one thread at a time may use a log.
 */
public final class TallyLog {
    private static final Logger LOG = LogManager.getLogger(TallyLog.class);
    private static final String FILE_NAME = "tally.log";

    private final Path folder;
    private final Path path;
    private final LogFileAccess access;

    /** Null before the first use and after a failure. */
    private FileChannel channel;

    /** In bytes from the start of the file. */
    private long durableLength;

    /** Whether the file has a frame without additions, which is the mark. */
    private boolean isComplete;

    /**
     * Creates a log in a folder, which is made if it is missing.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if it can't be made
     */
    public TallyLog(Path folder) {
        this(folder, new LogFileAccess());
    }

    TallyLog(Path folder, LogFileAccess access) {
        this.folder = folder;
        this.path = folder.resolve(FILE_NAME);
        this.access = access;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_WRITE, "can't make " + folder, e);
        }
    }

    /**
     * Reads all additions in the order of their appends, to be called once before the first append.
     * The file ends before the first frame that is torn or damaged: the rest is cut off. What is
     * returned is synced.
     *
     * @throws StorageException with {@link ResultCode#DISK_DAMAGED} if the file can't be read,
     *     {@link ResultCode#DISK_FORMAT} if it is of another program, {@link ResultCode#DISK_WRITE}
     *     if it can't be synced; the file is unchanged then
     */
    public List<TallyAddition> load() {
        List<TallyAddition> additions = new ArrayList<>();
        if (!Files.exists(path)) {
            return additions;
        }
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(path)))) {
            durableLength = readFrames(in, additions);
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_DAMAGED, path + " can't be read: " + e, e);
        }
        syncLoaded();
        return additions;
    }

    /** Adds the additions of all readable frames; returns the length of these frames in bytes. */
    private long readFrames(DataInputStream in, List<TallyAddition> additions) throws IOException {
        long length = 0;
        TallyLogFormat.Frame frame = TallyLogFormat.read(in);
        while (frame != null) {
            additions.addAll(frame.additions());
            isComplete |= frame.additions().isEmpty();
            length += frame.lengthBytes();
            frame = TallyLogFormat.read(in);
        }
        return length;
    }

    /** A process that was killed may have left frames that it had not synced. */
    private void syncLoaded() {
        try {
            open();
            access.force(channel);
        } catch (IOException e) {
            closeAfterFailure();
            throw new StorageException(ResultCode.DISK_WRITE, path + " can't be synced: " + e, e);
        }
    }

    /**
     * Writes additions with one sync; they are durable when this returns. After a failure none of
     * them is.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if they are not on the disk
     */
    public void append(List<TallyAddition> additions) {
        if (!additions.isEmpty()) {
            write(TallyLogFormat.encode(additions));
        }
    }

    /** Returns whether the disk has this log; a disk that was lost has not. */
    public boolean exists() {
        return Files.exists(path);
    }

    /** Returns whether the log was marked as complete. */
    public boolean isComplete() {
        return isComplete;
    }

    /**
     * Marks, once, that the log holds what the node needs to serve after a restart.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if the mark is not on the disk
     */
    public void markComplete() {
        if (!isComplete) {
            write(TallyLogFormat.encode(List.of()));
            isComplete = true;
        }
    }

    /**
     * Makes the file without a mark, so that the next start knows that the disk was lost.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if it is not on the disk
     */
    public void create() {
        write(ByteBuffer.allocate(0));
    }

    private void write(ByteBuffer frames) {
        int length = frames.remaining();
        try {
            open();
            access.write(channel, frames, durableLength);
            access.force(channel);
        } catch (IOException e) {
            closeAfterFailure();
            throw new StorageException(ResultCode.DISK_WRITE, "can't write " + path + ": " + e, e);
        }
        durableLength += length;
    }

    /** Opens the file unless it is open, and cuts off what a failed append has left. */
    private void open() throws IOException {
        if (channel != null) {
            return;
        }
        boolean isNew = !Files.exists(path);
        channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (isNew) {
            syncFolder();
        }
        long length = channel.size();
        if (length < durableLength) {
            throw new IOException("the file has " + length + " bytes of " + durableLength);
        }
        if (length > durableLength) {
            LOG.warn("{} bytes at the end of {} are cut off", length - durableLength, path);
            access.truncate(channel, durableLength);
        }
    }

    /** Not all platforms allow it; a new file then survives from its own sync on. */
    private void syncFolder() {
        try (FileChannel opened = FileChannel.open(folder, StandardOpenOption.READ)) {
            opened.force(true);
        } catch (IOException e) {
            LOG.debug("{} can't be synced: {}", folder, e.toString());
        }
    }

    private void closeAfterFailure() {
        if (channel == null) {
            return;
        }
        try (FileChannel failed = channel) {
            access.truncate(failed, durableLength);
        } catch (IOException e) {
            LOG.debug("{} is cut before the next append: {}", path, e.toString());
        }
        channel = null;
    }
}
