package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares texts with the golden files under {@code src/test/resources/compatibility}. A text that
 * differs is written to {@code target/compatibility} for manual comparison. Golden files are never
 * updated automatically.
 */
public final class Golden {
    private static final Path ACTUAL = Path.of("target", "compatibility");

    private Golden() {}

    /** Fails unless the golden file exists and is equal to the text. */
    public static void assertMatches(String name, String actual) throws IOException {
        String golden = find(name);
        if (!actual.equals(golden)) {
            Path file = ACTUAL.resolve(name);
            Files.createDirectories(file.getParent());
            Files.writeString(file, actual);
        }
        assertEquals(
                golden,
                actual,
                name + " differs from the golden file; the actual text is in " + ACTUAL);
    }

    /** The text of a golden file; fails if it does not exist. */
    public static String read(String name) throws IOException {
        String text = find(name);
        assertNotNull(text, "missing golden file " + name);
        return text;
    }

    private static String find(String name) throws IOException {
        try (InputStream in = Golden.class.getResourceAsStream("/compatibility/" + name)) {
            return in == null ? null : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * The values of a record as text without the names of Java identifiers, so that renaming does
     * not change it: enum constants by ordinal; records, lists and maps by their contents.
     */
    public static String values(Object value) throws ReflectiveOperationException {
        if (value instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        }
        List<String> parts = new ArrayList<>();
        if (value instanceof Record) {
            for (RecordComponent component : value.getClass().getRecordComponents()) {
                component.getAccessor().setAccessible(true);
                parts.add(values(component.getAccessor().invoke(value)));
            }
            return "(" + String.join(" ", parts) + ")";
        }
        if (value instanceof Collection<?> all) {
            for (Object one : all) {
                parts.add(values(one));
            }
            return "[" + String.join(" ", parts) + "]";
        }
        if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : new TreeMap<>(map).entrySet()) {
                parts.add(entry.getKey() + "=" + values(entry.getValue()));
            }
            return "{" + String.join(" ", parts) + "}";
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
