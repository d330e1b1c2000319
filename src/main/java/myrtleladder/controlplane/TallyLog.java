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
 * Append-only log of tally additions on a node's disk, a file of {@link TallyLogFormat} frames.
 * Each append is synced before it returns.
 *
 * <p>Invariants: the first {@link #durableLength} bytes are synced, intact and never overwritten;
 * the bytes after them were not acknowledged and are truncated before the next append.
 *
 * <p>Not thread-safe.
 */
public final class TallyLog {
    private static final Logger LOG = LogManager.getLogger(TallyLog.class);
    private static final String FILE_NAME = "tally.log";

    private final Path folder;
    private final Path path;
    private final LogFileAccess fileAccess;

    /** The open file, or null before the first use and after a failure. */
    private FileChannel channel;

    /** Length of the synced, intact part of the file, in bytes. */
    private long durableLength;

    /** Whether the file contains the completion marker, a frame without additions. */
    private boolean isComplete;

    /**
     * Creates a log in a folder, which is created if it does not exist.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if the folder cannot be created
     */
    public TallyLog(Path folder) {
        this(folder, new LogFileAccess());
    }

    TallyLog(Path folder, LogFileAccess fileAccess) {
        this.folder = folder;
        this.path = folder.resolve(FILE_NAME);
        this.fileAccess = fileAccess;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_WRITE, "cannot create " + folder, e);
        }
    }

    /**
     * Reads all additions in the order in which they were appended. Must be called once, before the
     * first append. Truncates the file at the first torn or damaged frame and syncs the additions
     * that it returns.
     *
     * @throws StorageException with {@link ResultCode#DISK_DAMAGED} if the file cannot be read,
     *     {@link ResultCode#DISK_FORMAT} if an intact frame has unknown content, {@link
     *     ResultCode#DISK_WRITE} if the file cannot be synced; no intact frame is removed then
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
            throw new StorageException(
                    ResultCode.DISK_DAMAGED, "cannot read " + path + ": " + e, e);
        }
        syncLoaded();
        return additions;
    }

    /**
     * Adds the additions of all frames up to the first unreadable one to the list. Returns the
     * length of these frames in bytes.
     */
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

    /**
     * Syncs the loaded frames, since a killed process may have written frames without syncing them.
     */
    private void syncLoaded() {
        try {
            open();
            fileAccess.force(channel);
        } catch (IOException e) {
            closeAfterFailure();
            throw new StorageException(ResultCode.DISK_WRITE, "cannot sync " + path + ": " + e, e);
        }
    }

    /**
     * Appends additions with a single sync. They are durable when the method returns; after a
     * failure none of them is.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if they could not be stored
     */
    public void append(List<TallyAddition> additions) {
        if (!additions.isEmpty()) {
            write(TallyLogFormat.encode(additions));
        }
    }

    /** Returns whether the log file exists. It does not exist on a disk that was replaced. */
    public boolean exists() {
        return Files.exists(path);
    }

    /** Returns whether the log is marked as complete. */
    public boolean isComplete() {
        return isComplete;
    }

    /**
     * Marks the log as complete: the node can serve from it after a restart. Does nothing if it is
     * already marked.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if the marker could not be stored
     */
    public void markComplete() {
        if (!isComplete) {
            write(TallyLogFormat.encode(List.of()));
            isComplete = true;
        }
    }

    /**
     * Creates the file without a completion marker, which tells the next start that the disk was
     * lost.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if the file could not be created
     */
    public void create() {
        write(ByteBuffer.allocate(0));
    }

    private void write(ByteBuffer frames) {
        int length = frames.remaining();
        try {
            open();
            fileAccess.write(channel, frames, durableLength);
            fileAccess.force(channel);
        } catch (IOException e) {
            closeAfterFailure();
            throw new StorageException(ResultCode.DISK_WRITE, "cannot write " + path + ": " + e, e);
        }
        durableLength += length;
    }

    /**
     * Opens the file unless it is open, and truncates the bytes that a failed append left behind.
     */
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
            throw new IOException(
                    "the file has only " + length + " of " + durableLength + " bytes");
        }
        if (length > durableLength) {
            LOG.warn("truncating {} bytes at the end of {}", length - durableLength, path);
            fileAccess.truncate(channel, durableLength);
        }
    }

    /**
     * Syncs the folder, so that a new file survives a crash. Not all platforms support this; there,
     * the sync of the file itself has to suffice.
     */
    private void syncFolder() {
        try (FileChannel opened = FileChannel.open(folder, StandardOpenOption.READ)) {
            opened.force(true);
        } catch (IOException e) {
            LOG.debug("cannot sync folder {}: {}", folder, e.toString());
        }
    }

    private void closeAfterFailure() {
        if (channel == null) {
            return;
        }
        try (FileChannel failed = channel) {
            fileAccess.truncate(failed, durableLength);
        } catch (IOException e) {
            LOG.debug(
                    "cannot truncate {} now, retrying before the next append: {}",
                    path,
                    e.toString());
        }
        channel = null;
    }
}
