package myrtleladder.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.result.ResultCode;

/**
 * A configuration as the JSON document that the operator wrote, and the changes that an operator
 * can make to it. Immutable.
 */
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

    /** Returns the document in use before the operator's first one: empty, generation 0. */
    public static ConfigurationDocument empty() {
        return new ConfigurationDocument(new byte[0], 0);
    }

    /** Restores a document that was validated before it was stored; does not validate it again. */
    public static ConfigurationDocument fromStored(byte[] bytes, long generation) {
        return new ConfigurationDocument(bytes, generation);
    }

    /** Returns the complete document as UTF-8 JSON, not a copy; empty before the first one. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns the generation number that the operator assigned, 0 before the first document. */
    public long generation() {
        return generation;
    }

    /** Parses the document into its typed form. */
    public Configuration configuration() {
        return Configuration.parse(JsonCodec.parseObject(bytes));
    }

    /**
     * Replaces the complete document.
     *
     * @param replacement the new document as JSON
     * @return the new document
     * @throws ConfigurationException if it is invalid or its generation is not higher
     */
    public ConfigurationDocument replacedBy(byte[] replacement) {
        return validated(JsonCodec.parseObject(replacement));
    }

    /**
     * Applies a patch that deletes, replaces or adds named items; other top-level fields of the
     * patch replace those of the document.
     *
     * @param patchBytes JSON with {@code generation}, and optionally {@code upsert} and {@code
     *     delete}
     * @return the patched document
     * @throws ConfigurationException if the result is invalid or its generation is not higher
     */
    public ConfigurationDocument patchedBy(byte[] patchBytes) {
        Map<String, Object> patch = JsonCodec.parseObject(patchBytes);
        Map<String, Object> tree =
                bytes.length == 0 ? new LinkedHashMap<>() : JsonCodec.parseObject(bytes);
        if (patch.get(GENERATION) == null) {
            throw JsonObject.invalidField(GENERATION, "a number");
        }
        patch.forEach(
                (name, value) -> {
                    if (!name.equals(UPSERT) && !name.equals(DELETE)) {
                        tree.put(name, value);
                    }
                });
        if (patch.get(DELETE) != null) {
            delete(tree, JsonObject.of(DELETE, patch.get(DELETE)), (Map<?, ?>) patch.get(DELETE));
        }
        if (patch.get(UPSERT) != null) {
            JsonObject.of(UPSERT, patch.get(UPSERT));
            upsert(tree, (Map<?, ?>) patch.get(UPSERT));
        }
        return validated(tree);
    }

    private ConfigurationDocument validated(Map<String, Object> tree) {
        Configuration configuration = Configuration.parse(tree);
        if (configuration.generation() <= generation) {
            throw new ConfigurationException(
                    ResultCode.OLD_GENERATION,
                    "generation " + configuration.generation() + " is not above " + generation);
        }
        return new ConfigurationDocument(JsonCodec.serialize(tree), configuration.generation());
    }

    private static void delete(
            Map<String, Object> tree, JsonObject json, Map<?, ?> changesByCollection) {
        for (Object collection : changesByCollection.keySet()) {
            List<String> names = json.getStrings(String.valueOf(collection));
            mutableItems(tree, String.valueOf(collection))
                    .removeIf(item -> names.contains(nameOf(item)));
        }
    }

    private static void upsert(Map<String, Object> tree, Map<?, ?> changesByCollection) {
        changesByCollection.forEach(
                (collection, value) -> {
                    if (value instanceof List<?> changedItems) {
                        List<Object> items = mutableItems(tree, String.valueOf(collection));
                        changedItems.forEach(item -> putItem(items, item));
                    } else {
                        tree.put(String.valueOf(collection), value);
                    }
                });
    }

    /** Replaces the item with the same name, or appends the item if there is none. */
    private static void putItem(List<Object> items, Object item) {
        String name = nameOf(item);
        if (name == null) {
            throw JsonObject.invalidField(UPSERT, "a list of named items");
        }
        for (int i = 0; i < items.size(); i++) {
            if (name.equals(nameOf(items.get(i)))) {
                items.set(i, item);
                return;
            }
        }
        items.add(item);
    }

    /** Returns the name of an item, null if it is not an object with a name. */
    private static String nameOf(Object item) {
        return item instanceof Map<?, ?> map && map.get(NAME) instanceof String name ? name : null;
    }

    /** Replaces a list of items in the tree by a mutable copy and returns the copy. */
    private static List<Object> mutableItems(Map<String, Object> tree, String collection) {
        Object present = tree.get(collection);
        List<Object> items =
                present instanceof List<?> list ? new ArrayList<>(list) : new ArrayList<>();
        tree.put(collection, items);
        return items;
    }
}
