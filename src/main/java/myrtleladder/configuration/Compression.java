package myrtleladder.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import myrtleladder.result.ResultCode;

/**
 * Compresses configuration documents for storage and transmission (zlib, RFC 1950). The documents
 * compress well, since their JSON repeats the same field names. Thread-safe; does not modify the
 * arrays that are passed in.
 */
public final class Compression {
    private static final int BUFFER_BYTES = 8 * 1_024;

    /** Maximum size of a decompressed document; bounds the memory that forged input can take. */
    static final int MAX_DOCUMENT_BYTES = 64 * 1_024 * 1_024;

    private Compression() {}

    /** Compresses a document; an empty array is returned as is. */
    public static byte[] deflate(byte[] bytes) {
        if (bytes.length == 0) {
            return bytes;
        }
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses a document; an empty array is returned as is.
     *
     * @throws ConfigurationException if the bytes are damaged or the document exceeds the size
     *     limit
     */
    public static byte[] inflate(byte[] bytes) {
        if (bytes.length == 0) {
            return bytes;
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length * 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                // The input is truncated or requires a preset dictionary.
                boolean isStuck = count == 0 && !inflater.finished();
                if (isStuck || count > MAX_DOCUMENT_BYTES - out.size()) {
                    throw new ConfigurationException(
                            ResultCode.CONFIGURATION_SYNTAX, "a stored document is damaged");
                }
                out.write(buffer, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_SYNTAX, "a stored document is damaged");
        } finally {
            inflater.end();
        }
    }
}
