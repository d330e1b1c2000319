package myrtleladder.controlplane;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import myrtleladder.result.ResultCode;
import org.mapdb.Serializer;
import org.mapdb.SortedTableMap;
import org.mapdb.volume.ByteArrayVol;
import org.mapdb.volume.SingleByteArrayVol;
import org.mapdb.volume.Volume;

/**
 * Encodes and decodes state files. A file is a MapDB sorted table without its trailing zeros,
 * followed by the CRC-32C of these bytes as a big-endian long. Entry 0 of the table is the header
 * (format version and content length, an int each); the entries after it are the chunks of the
 * content.
 *
 * <p>Stateless. The format must stay compatible with files on existing disks.
 */
final class StateFileFormat {
    /** The format version that is written, and the only one that can be read. */
    private static final int VERSION = 1;

    private static final int HEADER_KEY = 0;
    private static final int HEADER_BYTES = 8;
    private static final int VERSION_OFFSET = 0;
    private static final int LENGTH_OFFSET = 4;

    /** Content bytes per entry. Part of the format. */
    private static final int CHUNK_BYTES = 8 * 1_024;

    /** Page size of the table. Part of the format. */
    private static final int PAGE_BYTES = 64 * 1_024;

    /** Entries per node of the table. Part of the format. */
    private static final int ENTRIES_PER_NODE = 4;

    private static final int CHECKSUM_BYTES = Long.BYTES;

    private StateFileFormat() {}

    /** Returns the bytes of a file with this content. */
    static byte[] encode(byte[] content) {
        byte[] table = withoutTrailingZeros(encodeTable(content));
        byte[] file = Arrays.copyOf(table, table.length + CHECKSUM_BYTES);
        ByteBuffer.wrap(file).putLong(table.length, checksum(table));
        return file;
    }

    private static byte[] encodeTable(byte[] content) {
        Volume volume = ByteArrayVol.FACTORY.makeVolume(null, false);
        SortedTableMap.Sink<Integer, byte[]> sink =
                SortedTableMap.create(volume, Serializer.INTEGER, Serializer.BYTE_ARRAY)
                        .pageSize(PAGE_BYTES)
                        .nodeSize(ENTRIES_PER_NODE)
                        .createFromSink();
        sink.put(HEADER_KEY, header(content.length));
        for (int i = 0; i * CHUNK_BYTES < content.length; i++) {
            int end = Math.min(content.length, (i + 1) * CHUNK_BYTES);
            sink.put(chunkKey(i), Arrays.copyOfRange(content, i * CHUNK_BYTES, end));
        }
        sink.create();
        return bytesOf(volume);
    }

    private static byte[] header(int contentLength) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(VERSION_OFFSET, VERSION);
        header.putInt(LENGTH_OFFSET, contentLength);
        return header.array();
    }

    private static int chunkKey(int index) {
        return HEADER_KEY + 1 + index;
    }

    private static byte[] bytesOf(Volume volume) {
        byte[] bytes = new byte[(int) volume.length()];
        for (int offset = 0; offset < bytes.length; offset += PAGE_BYTES) {
            // a read must not cross a slice boundary of the volume; reads of entire pages never do
            volume.getData(offset, bytes, offset, PAGE_BYTES);
        }
        return bytes;
    }

    /** MapDB grows a volume in steps of a megabyte, most of which is unused zeros. */
    private static byte[] withoutTrailingZeros(byte[] table) {
        int length = table.length;
        while (length > 1 && table[length - 1] == 0) {
            length--;
        }
        return Arrays.copyOf(table, length);
    }

    /**
     * Returns the content of a file.
     *
     * @throws StorageException if the file is damaged or has a different format version
     */
    static byte[] decode(byte[] file) {
        byte[] table = withTrailingZeros(withoutChecksum(file));
        return decodeTable(
                SortedTableMap.open(
                        new SingleByteArrayVol(table), Serializer.INTEGER, Serializer.BYTE_ARRAY));
    }

    /**
     * Verifies and removes the checksum. MapDB does not validate its input, so this must precede
     * opening the table.
     */
    private static byte[] withoutChecksum(byte[] file) {
        int length = file.length - CHECKSUM_BYTES;
        if (length <= 0) {
            throw StorageException.damaged("the file is truncated");
        }
        byte[] table = Arrays.copyOf(file, length);
        if (checksum(table) != ByteBuffer.wrap(file).getLong(length)) {
            throw StorageException.damaged("the checksum does not match");
        }
        return table;
    }

    /**
     * Pads the table with zeros to a multiple of the page size, which MapDB requires; extra zeros
     * are harmless.
     */
    private static byte[] withTrailingZeros(byte[] table) {
        int pages = table.length / PAGE_BYTES + 2;
        return Arrays.copyOf(table, pages * PAGE_BYTES);
    }

    private static byte[] decodeTable(SortedTableMap<Integer, byte[]> table) {
        byte[] content = new byte[contentLength(table)];
        for (int i = 0; i * CHUNK_BYTES < content.length; i++) {
            byte[] chunk = table.get(chunkKey(i));
            int expectedLength = Math.min(CHUNK_BYTES, content.length - i * CHUNK_BYTES);
            if (chunk == null || chunk.length != expectedLength) {
                throw StorageException.damaged(
                        "chunk " + i + " is missing or has the wrong length");
            }
            System.arraycopy(chunk, 0, content, i * CHUNK_BYTES, expectedLength);
        }
        return content;
    }

    private static int contentLength(SortedTableMap<Integer, byte[]> table) {
        byte[] bytes = table.get(HEADER_KEY);
        if (bytes == null || bytes.length != HEADER_BYTES) {
            throw StorageException.damaged("the header is missing or has the wrong length");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes);
        int version = header.getInt(VERSION_OFFSET);
        if (version != VERSION) {
            throw new StorageException(
                    ResultCode.DISK_FORMAT, "unsupported format version " + version, null);
        }
        int length = header.getInt(LENGTH_OFFSET);
        if (length < 0 || length > table.size() * (long) CHUNK_BYTES) {
            throw StorageException.damaged("invalid content length " + length);
        }
        return length;
    }

    private static long checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }
}
