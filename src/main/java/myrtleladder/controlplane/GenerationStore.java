package myrtleladder.controlplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.result.ResultCode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.mapdb.DBException;
import org.mapdb.Serializer;
import org.mapdb.SortedTableMap;
import org.mapdb.volume.ByteArrayVol;
import org.mapdb.volume.SingleByteArrayVol;
import org.mapdb.volume.Volume;

/**
 * The state on the disk: each save writes the whole as a new MapDB table with a checksum, syncs it,
 * and only then removes what is older than the one before. A file that was written in part is set
 * aside at the start; what it held was never acknowledged. No file is changed once written.
 */
public final class GenerationStore {
    private static final Logger LOG = LogManager.getLogger(GenerationStore.class);
    private static final String PREFIX = "state-";
    private static final String SUFFIX = ".table";
    private static final String DAMAGED = ".damaged";
    private static final int FORMAT = 1;
    private static final int CHUNK = 8 * 1_024;
    private static final int HEADER = 8;
    private static final long PAGE = 64 * 1_024;
    private static final int NODE = 4;

    private final Path folder;
    private long newest;

    /** Creates a store in a folder, which is made if it is missing. */
    public GenerationStore(Path folder) {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new StoreException(ResultCode.DISK_WRITE, "can't make " + folder, e);
        }
    }

    /** A generation of the state in its file. */
    public record Generation(long number, Path file) {}

    /** What stands in the folder, the newest first. */
    public List<Generation> generations() {
        List<Generation> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.forEach(
                    file -> {
                        String name = file.getFileName().toString();
                        if (name.startsWith(PREFIX)) {
                            found.add(new Generation(numberOf(name), file));
                        }
                    });
        } catch (IOException e) {
            throw new StoreException(ResultCode.DISK_DAMAGED, "can't list " + folder, e);
        }
        found.sort(Comparator.comparingLong(Generation::number).reversed());
        return found;
    }

    private static long numberOf(String name) {
        int end = name.indexOf('.');
        try {
            return Long.parseLong(name.substring(PREFIX.length(), end < 0 ? name.length() : end));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The newest whole state, null if there is none; files that are not whole are set aside. */
    public StoredState load() {
        StoredState state = null;
        for (Generation generation : generations()) {
            newest = Math.max(newest, generation.number());
            if (!generation.file().toString().endsWith(SUFFIX)) {
                continue;
            }
            if (state == null) {
                try {
                    state = read(generation.file());
                } catch (StoreException e) {
                    LOG.warn("{} is set aside: {}", generation.file(), e.getMessage());
                    setAside(generation.file());
                }
            }
        }
        return state;
    }

    private static void setAside(Path file) {
        try {
            Files.move(file, file.resolveSibling(file.getFileName() + DAMAGED));
        } catch (IOException e) {
            LOG.warn("{} can't be renamed: {}", file, e.toString());
        }
    }

    /** Reads and checks one file. */
    public static StoredState read(Path file) {
        byte[] bytes;
        try {
            byte[] table = withoutChecksum(Files.readAllBytes(file));
            bytes =
                    join(
                            SortedTableMap.open(
                                    new SingleByteArrayVol(padded(table)),
                                    Serializer.INTEGER,
                                    Serializer.BYTE_ARRAY));
        } catch (IOException | DBException e) {
            throw new StoreException(ResultCode.DISK_DAMAGED, file + " can't be read: " + e, e);
        }
        if (MessageCodec.decode(bytes) instanceof StoredState state) {
            return state;
        }
        throw new StoreException(ResultCode.DISK_DAMAGED, file + " holds something else", null);
    }

    /** The table as the library made it: what {@link #table} cut off was zero. */
    private static byte[] padded(byte[] table) {
        long pages = table.length / PAGE + 2;
        return Arrays.copyOf(table, (int) (pages * PAGE));
    }

    /** The library trusts what it reads; so the whole table is checked before it is opened. */
    private static byte[] withoutChecksum(byte[] file) {
        int length = file.length - Long.BYTES;
        if (length <= 0) {
            throw new StoreException(ResultCode.DISK_DAMAGED, "the file is cut short", null);
        }
        byte[] table = Arrays.copyOf(file, length);
        if (checksum(table) != ByteBuffer.wrap(file).getLong(length)) {
            throw new StoreException(ResultCode.DISK_DAMAGED, "the checksum does not match", null);
        }
        return table;
    }

    private static byte[] join(SortedTableMap<Integer, byte[]> table) {
        byte[] head = table.get(0);
        if (head == null || head.length != HEADER) {
            throw new StoreException(ResultCode.DISK_DAMAGED, "there is no header", null);
        }
        ByteBuffer header = ByteBuffer.wrap(head);
        if (header.getInt(0) != FORMAT) {
            throw new StoreException(ResultCode.DISK_FORMAT, "format " + header.getInt(0), null);
        }
        int length = header.getInt(4);
        if (length < 0 || length > table.size() * (long) CHUNK) {
            throw new StoreException(ResultCode.DISK_DAMAGED, "a length of " + length, null);
        }
        byte[] bytes = new byte[length];
        for (int i = 0; i * CHUNK < length; i++) {
            byte[] chunk = table.get(i + 1);
            int wanted = Math.min(CHUNK, length - i * CHUNK);
            if (chunk == null || chunk.length != wanted) {
                throw new StoreException(
                        ResultCode.DISK_DAMAGED, "part " + i + " is missing", null);
            }
            System.arraycopy(chunk, 0, bytes, i * CHUNK, wanted);
        }
        return bytes;
    }

    private static long checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }

    /** Writes and syncs a state as the next generation. */
    public void save(StoredState state) {
        Path file = folder.resolve(String.format("%s%016d%s", PREFIX, newest + 1, SUFFIX));
        newest++;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(table(MessageCodec.encode(state)));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        } catch (DBException | IOException e) {
            remove(file);
            throw new StoreException(ResultCode.DISK_WRITE, "can't write " + file + ": " + e, e);
        }
        for (Generation generation : generations()) {
            if (generation.number() < newest - 1) {
                remove(generation.file());
            }
        }
    }

    /** The bytes of a table that holds the state, with their checksum behind them. */
    private static byte[] table(byte[] bytes) {
        ByteBuffer header = ByteBuffer.allocate(HEADER);
        header.putInt(0, FORMAT);
        header.putInt(4, bytes.length);
        Volume volume = ByteArrayVol.FACTORY.makeVolume(null, false);
        SortedTableMap.Sink<Integer, byte[]> sink =
                SortedTableMap.create(volume, Serializer.INTEGER, Serializer.BYTE_ARRAY)
                        .pageSize(PAGE)
                        .nodeSize(NODE)
                        .createFromSink();
        sink.put(0, header.array());
        for (int i = 0; i * CHUNK < bytes.length; i++) {
            int end = Math.min(bytes.length, (i + 1) * CHUNK);
            sink.put(i + 1, Arrays.copyOfRange(bytes, i * CHUNK, end));
        }
        sink.create();
        byte[] made = new byte[(int) volume.length()];
        for (int at = 0; at < made.length; at += (int) PAGE) {
            // the volume does not read over the bounds of its parts, which whole pages keep within
            volume.getData(at, made, at, (int) PAGE);
        }
        int length = usedLength(made);
        byte[] whole = Arrays.copyOf(made, length + Long.BYTES);
        ByteBuffer.wrap(whole).putLong(length, checksum(Arrays.copyOf(made, length)));
        return whole;
    }

    /** The library's volume grows by a megabyte; what is not used of it need not be written. */
    private static int usedLength(byte[] table) {
        int length = table.length;
        while (length > 1 && table[length - 1] == 0) {
            length--;
        }
        return length;
    }

    private static void remove(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            LOG.warn("{} can't be removed: {}", file, e.toString());
        }
    }
}
