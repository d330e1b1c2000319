package myrtleladder.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Header fields in the order of their arrival (RFC 9110, section 5). Names are compared without
 * regard to case. Mutable and not thread-safe.
 */
public final class Headers {
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Copies the fields of a parsed message. */
    static Headers copyOf(MimeHeaders source) {
        Headers headers = new Headers();
        for (int i = 0; i < source.size(); i++) {
            headers.add(source.getName(i).toString(), source.getValue(i).toString());
        }
        return headers;
    }

    /** Adds a field behind the others. */
    public Headers add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Replaces all fields of a name by one. */
    public Headers set(String name, String value) {
        remove(name);
        return add(name, value);
    }

    /** Removes all fields of a name. */
    public void remove(String name) {
        for (int i = names.size() - 1; i >= 0; i--) {
            if (names.get(i).equalsIgnoreCase(name)) {
                names.remove(i);
                values.remove(i);
            }
        }
    }

    /** Returns the first value of a name, null if there is none. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** Returns the first value of a name as an integer, or the default if it is missing or none. */
    public long number(String name, long defaultValue) {
        String value = get(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value.trim());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Calls the consumer with each name and value, in order. */
    public void forEach(BiConsumer<String, String> consumer) {
        for (int i = 0; i < names.size(); i++) {
            consumer.accept(names.get(i), values.get(i));
        }
    }
}
