package myrtleladder.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Golden data of the compatibility tests: one value a line, after its name and a colon. The values
 * were written by the program as it was released, and are never written again to follow a change.
 */
public final class GoldenFile {
    private final String file;
    private final Map<String, String> values = new LinkedHashMap<>();

    /** Reads a file below compatibility/fleet of the test resources. */
    public GoldenFile(String file) {
        this.file = file;
        String path = "/compatibility/fleet/" + file;
        try (InputStream in = GoldenFile.class.getResourceAsStream(path)) {
            assertNotNull(in, path);
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            for (String line : text.split("\n")) {
                int colon = line.indexOf(": ");
                if (colon > 0) {
                    values.put(line.substring(0, colon), line.substring(colon + 2));
                }
            }
        } catch (IOException e) {
            throw new AssertionError(path, e);
        }
    }

    /** The value of a name. */
    public String text(String name) {
        String value = values.get(name);
        assertNotNull(value, file + " has no " + name);
        return value;
    }

    /** The value of a name as bytes. */
    public byte[] bytes(String name) {
        return text(name).getBytes(StandardCharsets.UTF_8);
    }

    /** Asserts that the program writes the golden value. */
    public void assertWritten(String name, String written) {
        assertEquals(text(name), written, file + ": " + name);
    }

    /** Asserts that the program writes the golden bytes. */
    public void assertWritten(String name, byte[] written) {
        assertWritten(name, new String(written, StandardCharsets.UTF_8));
    }
}
