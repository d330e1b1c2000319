package myrtleladder.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Compression round trips, and rejection of damaged and oversized documents. */
class CompressionTest {
    @Test
    void documentIsUnchangedAfterARoundTrip() {
        byte[] document = "{'generation':7}".repeat(5_000).getBytes(StandardCharsets.UTF_8);
        assertArrayEquals(document, Compression.inflate(Compression.deflate(document)));
    }

    @Test
    void documentOfMaximumSizeIsAcceptedAndALargerOneRejected() {
        byte[] longest = new byte[Compression.MAX_DOCUMENT_BYTES];
        assertEquals(longest.length, Compression.inflate(Compression.deflate(longest)).length);
        byte[] tooLong = Compression.deflate(new byte[Compression.MAX_DOCUMENT_BYTES + 1]);
        assertThrows(ConfigurationException.class, () -> Compression.inflate(tooLong));
    }

    @Test
    void truncatedDocumentIsRejected() {
        byte[] compressed = Compression.deflate("a document".getBytes(StandardCharsets.UTF_8));
        byte[] truncated = Arrays.copyOf(compressed, compressed.length - 5);
        assertThrows(ConfigurationException.class, () -> Compression.inflate(truncated));
    }
}
