package myrtleladder.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.result.ResultCode;

/** A configuration as the operator wrote it, with the changes that orders make to it. */
public final class ConfigurationDocument {
    private static final String GENERATION = "generation";
    private static final String UPSERT = "upsert";
    private static final String DELETE = "delete";
    private static final String NAME = "name";

    private final byte[] bytes;
    private final long generation;

    private ConfigurationDocument(byte[] bytes, long generation) {
        this.bytes = bytes;
        this.generation = generation;
    }

    /** The document before the first one: generation 0 with nothing in it. */
    public static ConfigurationDocument empty() {
        return new ConfigurationDocument(new byte[0], 0);
    }

    /** A document that was checked when it was taken. */
    public static ConfigurationDocument stored(byte[] bytes, long generation) {
        return new ConfigurationDocument(bytes, generation);
    }

    /** The whole as JSON. */
    public byte[] bytes() {
        return bytes;
    }

    /** The operator's number, 0 before the first. */
    public long generation() {
        return generation;
    }

    /** The typed form. */
    public Configuration configuration() {
        return Configuration.read(Json.readObject(bytes));
    }

    /** The document that a whole new one makes of this; refused if it is invalid. */
    public ConfigurationDocument replacedBy(byte[] whole) {
        return checked(Json.readObject(whole));
    }

    /**
     * The document that a change of named items makes of this; refused if the result is invalid.
     */
    public ConfigurationDocument changedBy(byte[] change) {
        Map<String, Object> patch = Json.readObject(change);
        Map<String, Object> tree =
                bytes.length == 0 ? new LinkedHashMap<>() : Json.readObject(bytes);
        if (patch.get(GENERATION) == null) {
            throw Fields.wrong(GENERATION, "a number");
        }
        patch.forEach(
                (name, value) -> {
                    if (!name.equals(UPSERT) && !name.equals(DELETE)) {
                        tree.put(name, value);
                    }
                });
        if (patch.get(DELETE) != null) {
            delete(tree, Fields.of(DELETE, patch.get(DELETE)), (Map<?, ?>) patch.get(DELETE));
        }
        if (patch.get(UPSERT) != null) {
            Fields.of(UPSERT, patch.get(UPSERT));
            upsert(tree, (Map<?, ?>) patch.get(UPSERT));
        }
        return checked(tree);
    }

    private ConfigurationDocument checked(Map<String, Object> tree) {
        Configuration configuration = Configuration.read(tree);
        if (configuration.generation() <= generation) {
            throw new ConfigurationException(
                    ResultCode.OLD_GENERATION,
                    "generation " + configuration.generation() + " is not above " + generation);
        }
        return new ConfigurationDocument(Json.write(tree), configuration.generation());
    }

    private static void delete(Map<String, Object> tree, Fields fields, Map<?, ?> lists) {
        for (Object kind : lists.keySet()) {
            List<String> names = fields.texts(String.valueOf(kind));
            items(tree, String.valueOf(kind)).removeIf(item -> names.contains(nameOf(item)));
        }
    }

    private static void upsert(Map<String, Object> tree, Map<?, ?> lists) {
        lists.forEach(
                (kind, value) -> {
                    if (value instanceof List<?> changed) {
                        List<Object> items = items(tree, String.valueOf(kind));
                        changed.forEach(item -> put(items, item));
                    } else {
                        tree.put(String.valueOf(kind), value);
                    }
                });
    }

    private static void put(List<Object> items, Object item) {
        String name = nameOf(item);
        if (name == null) {
            throw Fields.wrong(UPSERT, "a list of named items");
        }
        for (int i = 0; i < items.size(); i++) {
            if (name.equals(nameOf(items.get(i)))) {
                items.set(i, item);
                return;
            }
        }
        items.add(item);
    }

    private static String nameOf(Object item) {
        return item instanceof Map<?, ?> map && map.get(NAME) instanceof String name ? name : null;
    }

    private static List<Object> items(Map<String, Object> tree, String kind) {
        Object present = tree.get(kind);
        List<Object> items =
                present instanceof List<?> list ? new ArrayList<>(list) : new ArrayList<>();
        tree.put(kind, items);
        return items;
    }
}
