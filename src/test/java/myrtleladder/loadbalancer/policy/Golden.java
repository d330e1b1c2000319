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
 * Compares texts with the golden files under {@code src/test/resources/compatibility}. What differs
 * is left under {@code target/compatibility}, so that it can be compared by eye; nothing ever
 * rewrites a golden file.
 */
public final class Golden {
    private static final Path ACTUAL = Path.of("target", "compatibility");

    private Golden() {}

    /** Fails unless there is such a golden file and the text is exactly the same. */
    public static void assertMatches(String name, String actual) throws IOException {
        String golden = find(name);
        if (!actual.equals(golden)) {
            Path file = ACTUAL.resolve(name);
            Files.createDirectories(file.getParent());
            Files.writeString(file, actual);
        }
        assertEquals(golden, actual, name + " differs; the present text is under " + ACTUAL);
    }

    /** The text of a golden file, which has to be there. */
    public static String read(String name) throws IOException {
        String text = find(name);
        assertNotNull(text, "there is no golden file " + name);
        return text;
    }

    private static String find(String name) throws IOException {
        try (InputStream in = Golden.class.getResourceAsStream("/compatibility/" + name)) {
            return in == null ? null : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * A record as text by its values alone, so that a change of a name of ours does not show: enums
     * by their place, records, lists and maps with what they hold.
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
