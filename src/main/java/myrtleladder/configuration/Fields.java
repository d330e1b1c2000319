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
final class Fields {
    private final String path;
    private final Map<?, ?> values;

    private Fields(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /**
     * Wraps a parsed JSON value.
     *
     * @param path the path of the value in the document, for error messages
     * @throws ConfigurationException if the value is not an object
     */
    static Fields of(String path, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw wrong(path, "an object");
        }
        return new Fields(path, map);
    }

    /** Creates the exception for a field that is not what was expected. */
    static ConfigurationException wrong(String path, String expected) {
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
    String text(String name) {
        if (values.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw wrong(path + "." + name, "a text");
    }

    String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** Returns a number rounded to the nearest integer. */
    long number(String name, long defaultValue) {
        return Math.round(decimal(name, defaultValue));
    }

    double decimal(String name, double defaultValue) {
        Object value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw wrong(path + "." + name, "a number");
    }

    /** Returns a boolean, false if the field is missing. */
    boolean flag(String name) {
        Object value = values.get(name);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw wrong(path + "." + name, "true or false");
    }

    /** Returns a required nested object. */
    Fields object(String name) {
        return of(path + "." + name, values.get(name));
    }

    /** Returns a copy of a list, empty if the field is missing. */
    List<Object> list(String name) {
        Object value = values.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return new ArrayList<>(list);
        }
        throw wrong(path + "." + name, "a list");
    }

    /** Returns a list of objects, empty if the field is missing. */
    List<Fields> objects(String name) {
        List<Fields> objects = new ArrayList<>();
        for (Object item : list(name)) {
            objects.add(of(path + "." + name + "[" + objects.size() + "]", item));
        }
        return objects;
    }

    /** Returns a list of strings, empty if the field is missing. */
    List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object item : list(name)) {
            if (!(item instanceof String text)) {
                throw wrong(path + "." + name, "a list of texts");
            }
            texts.add(text);
        }
        return texts;
    }
}
