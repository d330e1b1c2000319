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
 * The state of a node on its disk. Each save writes the whole state as a new {@link
 * StateFileFormat} file, syncs it, and only then removes the files that are older than the one
 * before.
 *
 * <p>Invariants: no file is changed once it is written; the newest file that can be read holds at
 * least what was last acknowledged. A file that was written in part is set aside when the state is
 * loaded; what it held was never acknowledged.
 *
 * <p>Not thread-safe: one thread at a time may use a store.
 */
public final class StateStore {
    private static final Logger LOG = LogManager.getLogger(StateStore.class);
    private static final String PREFIX = "state-";
    private static final String SUFFIX = ".table";
    private static final String DAMAGED_SUFFIX = ".damaged";
    private static final String NAME_FORMAT = PREFIX + "%016d" + SUFFIX;

    private final Path folder;
    private long newestNumber;

    /**
     * Creates a store in a folder, which is made if it is missing.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if it can't be made
     */
    public StateStore(Path folder) {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_WRITE, "can't make " + folder, e);
        }
    }

    /**
     * A file of the folder, readable or not.
     *
     * @param number counts the saves; 0 if the name has none
     */
    public record StateFile(long number, Path path) {
        private boolean isSetAside() {
            return !path.toString().endsWith(SUFFIX);
        }
    }

    /**
     * The files in the folder, the newest first, with those that were set aside.
     *
     * @throws StorageException with {@link ResultCode#DISK_DAMAGED} if the folder can't be listed
     */
    public List<StateFile> files() {
        List<StateFile> found = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            paths.forEach(
                    path -> {
                        String name = path.getFileName().toString();
                        if (name.startsWith(PREFIX)) {
                            found.add(new StateFile(numberIn(name), path));
                        }
                    });
        } catch (IOException e) {
            throw new StorageException(ResultCode.DISK_DAMAGED, "can't list " + folder, e);
        }
        found.sort(Comparator.comparingLong(StateFile::number).reversed());
        return found;
    }

    private static long numberIn(String name) {
        int end = name.indexOf('.');
        try {
            return Long.parseLong(name.substring(PREFIX.length(), end < 0 ? name.length() : end));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The newest complete state, null if there is none; newer, damaged files are set aside. */
    public StoredState load() {
        StoredState newest = null;
        for (StateFile file : files()) {
            newestNumber = Math.max(newestNumber, file.number());
            if (newest == null && !file.isSetAside()) {
                newest = readOrSetAside(file.path());
            }
        }
        return newest;
    }

    /** The state in a file, null if it is damaged. */
    private static StoredState readOrSetAside(Path path) {
        try {
            return read(path);
        } catch (StorageException e) {
            LOG.warn("{} is set aside: {}", path, e.getMessage());
            setAside(path);
            return null;
        }
    }

    private static void setAside(Path path) {
        try {
            Files.move(path, path.resolveSibling(path.getFileName() + DAMAGED_SUFFIX));
        } catch (IOException e) {
            LOG.warn("{} can't be renamed: {}", path, e.toString());
        }
    }

    /**
     * Reads and checks one file.
     *
     * @throws StorageException with {@link ResultCode#DISK_DAMAGED} or {@link
     *     ResultCode#DISK_FORMAT} if it can't be read
     */
    public static StoredState read(Path path) {
        byte[] encoded;
        try {
            encoded = StateFileFormat.decode(Files.readAllBytes(path));
        } catch (IOException | DBException e) {
            throw new StorageException(ResultCode.DISK_DAMAGED, path + " can't be read: " + e, e);
        }
        if (MessageCodec.decode(encoded) instanceof StoredState state) {
            return state;
        }
        throw StorageException.damaged(path + " holds something else");
    }

    /**
     * Writes and syncs a state as the next file.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if it is not on the disk
     */
    public void save(StoredState state) {
        newestNumber++;
        Path path = folder.resolve(String.format(NAME_FORMAT, newestNumber));
        try (FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(StateFileFormat.encode(MessageCodec.encode(state)));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        } catch (DBException | IOException e) {
            remove(path);
            throw new StorageException(ResultCode.DISK_WRITE, "can't write " + path + ": " + e, e);
        }
        removeOldFiles();
    }

    /** Keeps the newest file and the one before it. */
    private void removeOldFiles() {
        for (StateFile file : files()) {
            if (file.number() < newestNumber - 1) {
                remove(file.path());
            }
        }
    }

    private static void remove(Path path) {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            LOG.warn("{} can't be removed: {}", path, e.toString());
        }
    }
}
