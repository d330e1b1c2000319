package myrtleladder.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import myrtleladder.result.ResultCode;

/**
 * Typed access to the fields of a JSON object of the configuration. Getters throw {@link
 * ConfigurationException} with the path of the field if it has the wrong type, or if it is missing
 * and has no default. A field that is null counts as missing.
 */
final class JsonObject {
    /** The smallest magnitude that exceeds the range of a long. */
    private static final double LONG_RANGE_END = 0x1p63;

    private final String path;
    private final Map<?, ?> values;

    private JsonObject(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /**
     * Wraps a parsed JSON value.
     *
     * @param path the path of the value in the document, for error messages
     * @throws ConfigurationException if the value is not an object
     */
    static JsonObject of(String path, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw invalidField(path, "an object");
        }
        return new JsonObject(path, map);
    }

    /** Creates the exception for a field that is not what was expected. */
    static ConfigurationException invalidField(String path, String expected) {
        return new ConfigurationException(
                ResultCode.CONFIGURATION_FIELD, path + " is not " + expected);
    }

    /** Returns the path of this object in the document. */
    String path() {
        return path;
    }

    /** Returns whether the field is present and not null. */
    boolean has(String name) {
        return values.get(name) != null;
    }

    /** Returns a required string, which must not be empty. */
    String getString(String name) {
        if (values.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw invalidField(path + "." + name, "a text");
    }

    String getString(String name, String defaultValue) {
        return has(name) ? getString(name) : defaultValue;
    }

    /** Returns a number rounded to the nearest integer; it must not exceed the range of a long. */
    long getLong(String name, long defaultValue) {
        if (values.get(name) instanceof Long exact) {
            return exact;
        }
        double value = getDouble(name, defaultValue);
        if (Math.abs(value) >= LONG_RANGE_END) {
            throw invalidField(path + "." + name, "a number of at most 64 bits");
        }
        return Math.round(value);
    }

    /** Returns a number, which must not exceed the range of a double. */
    double getDouble(String name, double defaultValue) {
        Object value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw invalidField(path + "." + name, "a number");
    }

    /** Returns a boolean, false if the field is missing. */
    boolean getBoolean(String name) {
        Object value = values.get(name);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalidField(path + "." + name, "true or false");
    }

    /** Returns a required nested object. */
    JsonObject getObject(String name) {
        return of(path + "." + name, values.get(name));
    }

    /** Returns a copy of a list, empty if the field is missing. */
    List<Object> getList(String name) {
        Object value = values.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return new ArrayList<>(list);
        }
        throw invalidField(path + "." + name, "a list");
    }

    /** Returns a list of objects, empty if the field is missing. */
    List<JsonObject> getObjects(String name) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object item : getList(name)) {
            objects.add(of(path + "." + name + "[" + objects.size() + "]", item));
        }
        return objects;
    }

    /** Returns a list of strings, empty if the field is missing. */
    List<String> getStrings(String name) {
        List<String> strings = new ArrayList<>();
        for (Object item : getList(name)) {
            if (!(item instanceof String text)) {
                throw invalidField(path + "." + name, "a list of texts");
            }
            strings.add(text);
        }
        return strings;
    }
}
