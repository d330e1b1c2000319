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
 * Encodes and decodes the tally log, a sequence of frames. A frame consists of the content length,
 * the CRC-32C of length and content (both big-endian ints), and the content, a {@link TallyBatch}
 * encoded by {@link MessageCodec}.
 *
 * <p>Stateless. The format must stay compatible with files on existing disks.
 */
final class TallyLogFormat {
    /** Maximum content of a frame. Part of the format. */
    static final int MAX_CONTENT_BYTES = 256 * 1_024;

    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private TallyLogFormat() {}

    /**
     * A frame read from the log; {@code lengthBytes} is its length in the file, including the
     * header.
     */
    record Frame(List<TallyAddition> additions, int lengthBytes) {}

    /**
     * Encodes additions as one frame, or as several if the content exceeds {@link
     * #MAX_CONTENT_BYTES}.
     *
     * @throws StorageException with {@link ResultCode#DISK_WRITE} if a single addition does not fit
     *     into a frame
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
                    ResultCode.DISK_WRITE,
                    "an addition of " + content.length + " bytes is too long for a frame",
                    null);
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
     * Reads the next frame. Returns null at the end of the file and for an incomplete or damaged
     * frame.
     *
     * @throws IOException if the file cannot be read
     * @throws StorageException with {@link ResultCode#DISK_FORMAT} if the frame is intact but its
     *     content is unknown to this version
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
            throw new StorageException(ResultCode.DISK_FORMAT, "cannot decode a frame: " + e, e);
        }
        throw new StorageException(
                ResultCode.DISK_FORMAT, "a frame does not contain a tally batch", null);
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(content.length).flip());
        crc.update(content);
        return (int) crc.getValue();
    }
}
