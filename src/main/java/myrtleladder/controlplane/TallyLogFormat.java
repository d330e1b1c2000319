package myrtleladder.controlplane;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.MessageFormatException;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.protocol.TallyBatch;
import myrtleladder.result.ResultCode;

/**
 * The bytes of the tallies' log: frames, one after the other. A frame is the length of its content,
 * the CRC-32C of length and content (big-endian ints), and the content: a {@link TallyBatch} as
 * {@link MessageCodec} encodes it.
 *
 * <p>Functions of their arguments, without state. The format is stored data: it stays readable.
 */
final class TallyLogFormat {
    /** The longest content of a frame in bytes; part of the format. */
    static final int MAX_CONTENT_BYTES = 256 * 1_024;

    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private TallyLogFormat() {}

    /** A frame that was read, with its length in the file. */
    record Frame(List<TallyAddition> additions, int lengthBytes) {}

    /**
     * Encodes additions as frames, as many as their bounded length takes.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if one addition exceeds a frame
     */
    static ByteBuffer encode(List<TallyAddition> additions) {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        encodeTo(frames, additions);
        return ByteBuffer.wrap(frames.toByteArray());
    }

    private static void encodeTo(ByteArrayOutputStream frames, List<TallyAddition> additions) {
        byte[] content = MessageCodec.encode(TallyBatch.of(additions));
        if (content.length <= MAX_CONTENT_BYTES) {
            frames.writeBytes(header(content));
            frames.writeBytes(content);
            return;
        }
        if (additions.size() == 1) {
            throw new StorageException(
                    ResultCode.DISK_WRITE, "an addition of " + content.length + " bytes", null);
        }
        int middle = additions.size() / 2;
        encodeTo(frames, additions.subList(0, middle));
        encodeTo(frames, additions.subList(middle, additions.size()));
    }

    private static byte[] header(byte[] content) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(content.length);
        header.putInt(checksum(content));
        return header.array();
    }

    /**
     * Reads the next frame; null if there is none that is complete and intact.
     *
     * @throws IOException if the file can't be read
     * @throws StorageException with {@link ResultCode#DISK_FORMAT} if the frame is intact and its
     *     content is not known to this program
     */
    static Frame read(DataInputStream in) throws IOException {
        byte[] content = readIntactContent(in);
        return content == null ? null : new Frame(decode(content), HEADER_BYTES + content.length);
    }

    private static byte[] readIntactContent(DataInputStream in) throws IOException {
        try {
            int length = in.readInt();
            int checksum = in.readInt();
            if (length <= 0 || length > MAX_CONTENT_BYTES) {
                return null;
            }
            byte[] content = new byte[length];
            in.readFully(content);
            return checksum(content) == checksum ? content : null;
        } catch (EOFException e) {
            return null;
        }
    }

    private static List<TallyAddition> decode(byte[] content) {
        try {
            if (MessageCodec.decode(content) instanceof TallyBatch batch) {
                return batch.additions;
            }
        } catch (MessageFormatException e) {
            throw new StorageException(ResultCode.DISK_FORMAT, "an unknown batch: " + e, e);
        }
        throw new StorageException(ResultCode.DISK_FORMAT, "a frame holds something else", null);
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(content.length).flip());
        crc.update(content);
        return (int) crc.getValue();
    }
}
