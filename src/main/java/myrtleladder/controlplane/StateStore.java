package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.result.ResultCode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.mapdb.DBException;

/**
 * Stores the replica state of a node on disk. Each save writes the complete state as a new {@link
 * StateFileFormat} file and syncs it; only then does it remove old files, keeping the new file and
 * the previous one.
 *
 * <p>Invariants: a file is never modified after it is written; the newest readable file contains at
 * least the last acknowledged state. Loading quarantines partially written files by renaming them;
 * their state was never acknowledged.
 *
 * <p>Not thread-safe.
 */
public final class StateStore {
    private static final Logger LOG = LogManager.getLogger(StateStore.class);
    private static final String PREFIX = "state-";
    private static final String SUFFIX = ".table";
    private static final String DAMAGED_SUFFIX = ".damaged";
    private static final String NAME_FORMAT = PREFIX + "%016d" + SUFFIX;

    private final Path folder;
    private long newestSequenceNumber;

    /**
     * Creates a store in a folder, which is created if it does not exist.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if the folder cannot be created
     */
    public StateStore(Path folder) {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_WRITE, "cannot create " + folder, e);
        }
    }

    /**
     * A state file in the folder, readable or not.
     *
     * @param sequenceNumber the sequence number in the file name, 0 if the name has none
     */
    public record StateFile(long sequenceNumber, Path path) {
        private boolean isQuarantined() {
            return !path.toString().endsWith(SUFFIX);
        }
    }

    /**
     * Returns the state files in the folder, newest first, including quarantined ones.
     *
     * @throws StorageException with {@link ResultCode#DISK_DAMAGED} if the folder cannot be listed
     */
    public List<StateFile> files() {
        List<StateFile> found = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            paths.forEach(
                    path -> {
                        String name = path.getFileName().toString();
                        if (name.startsWith(PREFIX)) {
                            found.add(new StateFile(parseSequenceNumber(name), path));
                        }
                    });
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_DAMAGED, "cannot list " + folder, e);
        }
        found.sort(Comparator.comparingLong(StateFile::sequenceNumber).reversed());
        return found;
    }

    private static long parseSequenceNumber(String name) {
        int end = name.indexOf('.');
        try {
            return Long.parseLong(name.substring(PREFIX.length(), end < 0 ? name.length() : end));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Returns the newest readable state, or null if there is none. Newer files, which are damaged,
     * are quarantined.
     */
    public StoredState load() {
        StoredState newest = null;
        for (StateFile file : files()) {
            newestSequenceNumber = Math.max(newestSequenceNumber, file.sequenceNumber());
            if (newest == null && !file.isQuarantined()) {
                newest = readOrQuarantine(file.path());
            }
        }
        return newest;
    }

    /** Returns the state in a file; if the file is damaged, quarantines it and returns null. */
    private static StoredState readOrQuarantine(Path path) {
        try {
            return read(path);
        } catch (StorageException e) {
            LOG.warn("quarantining unreadable state file {}: {}", path, e.getMessage());
            quarantine(path);
            return null;
        }
    }

    private static void quarantine(Path path) {
        try {
            Files.move(path, path.resolveSibling(path.getFileName() + DAMAGED_SUFFIX));
        } catch (IOException e) {
            LOG.warn("cannot rename {}: {}", path, e.toString());
        }
    }

    /**
     * Reads and verifies a file.
     *
     * @throws StorageException with {@link ResultCode#DISK_DAMAGED} or {@link
     *     ResultCode#DISK_FORMAT} if it cannot be read
     */
    public static StoredState read(Path path) {
        byte[] encoded;
        try {
            encoded = StateFileFormat.decode(Files.readAllBytes(path));
        } catch (IOException | DBException e) {
            throw new StorageException(
                    ResultCode.DISK_DAMAGED, "cannot read " + path + ": " + e, e);
        }
        if (MessageCodec.decode(encoded) instanceof StoredState state) {
            return state;
        }
        throw StorageException.damaged(path + " does not contain a replica state");
    }

    /**
     * Writes a state as the next file and syncs it.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if the state could not be stored
     */
    public void save(StoredState state) {
        newestSequenceNumber++;
        Path path = folder.resolve(String.format(NAME_FORMAT, newestSequenceNumber));
        try (FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(StateFileFormat.encode(MessageCodec.encode(state)));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        } catch (DBException | IOException e) {
            remove(path);
            throw new StorageException(ResultCode.DISK_WRITE, "cannot write " + path + ": " + e, e);
        }
        removeOldFiles();
    }

    /** Removes all files except the newest and the previous one. */
    private void removeOldFiles() {
        for (StateFile file : files()) {
            if (file.sequenceNumber() < newestSequenceNumber - 1) {
                remove(file.path());
            }
        }
    }

    private static void remove(Path path) {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            LOG.warn("cannot remove {}: {}", path, e.toString());
        }
    }
}
