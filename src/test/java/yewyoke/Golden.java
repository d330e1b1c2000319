package yewyoke;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares texts with the golden files under {@code src/test/resources/compatibility}. What differs is left
 * under {@code target/compatibility}, so that it can be compared by eye; nothing ever rewrites a golden file.
 */
public final class Golden {
    private static final Path ACTUAL = Path.of("target", "compatibility");

    private Golden() { }

    /** Fails unless the text is exactly that of the golden file. */
    public static void assertMatches(String name, String actual) throws IOException {
        String golden = read(name);
        if (!golden.equals(actual)) {
            Path file = ACTUAL.resolve(name);
            Files.createDirectories(file.getParent());
            Files.writeString(file, actual);
        }
        assertEquals(golden, actual, name + " differs; the present text is under " + ACTUAL);
    }

    /** The text of a golden file; empty if there is none, which matches nothing that a program writes. */
    public static String read(String name) throws IOException {
        try (InputStream in = Golden.class.getResourceAsStream("/compatibility/" + name)) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
