package myrtleladder.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import myrtleladder.result.ResultCode;

/** Documents as they are stored and sent: their JSON names the same fields hundreds of times. */
public final class Compression {
    private static final int BUFFER = 8 * 1_024;
    private static final int MOST = 64 * 1_024 * 1_024;

    private Compression() {}

    /** Compresses bytes; none stay none. */
    public static byte[] deflate(byte[] bytes) {
        if (bytes.length == 0) {
            return bytes;
        }
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 4);
            byte[] buffer = new byte[BUFFER];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /** Restores what was compressed. */
    public static byte[] inflate(byte[] bytes) {
        if (bytes.length == 0) {
            return bytes;
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length * 4);
            byte[] buffer = new byte[BUFFER];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean stuck = count == 0 && !inflater.finished();
                if (stuck || out.size() > MOST) {
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
