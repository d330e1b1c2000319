package myrtleladder.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import myrtleladder.result.ResultCode;

/**
 * Typed access to the fields of a JSON object. Methods throw {@link ConfigurationException} with
 * the path of the field if it is missing, has no default, or has the wrong type.
 */
final class Fields {
    private final String path;
    private final Map<?, ?> values;

    private Fields(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    static Fields of(String path, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw wrong(path, "an object");
        }
        return new Fields(path, map);
    }

    static ConfigurationException wrong(String path, String expected) {
        return new ConfigurationException(
                ResultCode.CONFIGURATION_FIELD, path + " is not " + expected);
    }

    String path() {
        return path;
    }

    boolean has(String name) {
        return values.get(name) != null;
    }

    String text(String name) {
        if (values.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw wrong(path + "." + name, "a text");
    }

    String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

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

    Fields object(String name) {
        return of(path + "." + name, values.get(name));
    }

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

    List<Fields> objects(String name) {
        List<Fields> objects = new ArrayList<>();
        for (Object item : list(name)) {
            objects.add(of(path + "." + name + "[" + objects.size() + "]", item));
        }
        return objects;
    }

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
