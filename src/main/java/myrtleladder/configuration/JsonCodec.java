package myrtleladder.configuration;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.JsonWriter;
import com.dslplatform.json.ObjectConverter;
import com.dslplatform.json.ParsingException;
import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import myrtleladder.result.ResultCode;

/**
 * Parses and serializes JSON objects as trees of maps and lists. The maps preserve the order of the
 * fields. Every tree that was parsed can be serialized. Thread-safe.
 */
public final class JsonCodec {
    private static final DslJson<Object> DSL_JSON = new DslJson<>(new DslJson.Settings<>());

    private JsonCodec() {}

    /**
     * Parses a document, which must be a single JSON object in UTF-8; only white space and control
     * characters may follow it.
     *
     * @throws ConfigurationException with {@code CONFIGURATION_SYNTAX} if it is anything else, has
     *     more than {@link JsonTextCheck#MAX_NESTING_DEPTH} nested values, or has a string with an
     *     unpaired surrogate, which UTF-8 cannot represent
     */
    public static Map<String, Object> parseObject(byte[] bytes) {
        JsonTextCheck.check(bytes);
        Map<String, Object> tree = parse(bytes);
        checkStrings(tree);
        return tree;
    }

    private static Map<String, Object> parse(byte[] bytes) {
        try {
            JsonReader<Object> reader = DSL_JSON.newReader(bytes);
            if (reader.getNextToken() != '{') {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_SYNTAX, "the document is no object");
            }
            Map<String, Object> tree = ObjectConverter.deserializeMap(reader);
            for (int i = reader.getCurrentIndex(); i < bytes.length; i++) {
                if (bytes[i] > ' ' || bytes[i] < 0) {
                    throw new ConfigurationException(
                            ResultCode.CONFIGURATION_SYNTAX, "more follows behind the object");
                }
            }
            return tree;
        } catch (ParsingException e) {
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_SYNTAX, String.valueOf(e.getMessage()));
        } catch (IOException | IndexOutOfBoundsException e) {
            // the library reads past the end of a text that ends within an escape sequence
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_SYNTAX, "cut short: " + e.getMessage());
        }
    }

    private static void checkStrings(Object value) {
        if (value instanceof Map<?, ?> map) {
            map.keySet().forEach(JsonCodec::checkStrings);
            map.values().forEach(JsonCodec::checkStrings);
        } else if (value instanceof Collection<?> list) {
            list.forEach(JsonCodec::checkStrings);
        } else if (value instanceof String text && hasUnpairedSurrogate(text)) {
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_SYNTAX, "a text has an unpaired surrogate");
        }
    }

    private static boolean hasUnpairedSurrogate(String text) {
        int codePoint;
        for (int i = 0; i < text.length(); i += Character.charCount(codePoint)) {
            codePoint = text.codePointAt(i);
            if (codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE) {
                return true;
            }
        }
        return false;
    }

    /** Serializes a tree to UTF-8 without white space. */
    public static byte[] serialize(Map<String, Object> tree) {
        JsonWriter writer = DSL_JSON.newWriter();
        write(writer, tree);
        return writer.toByteArray();
    }

    /**
     * Writes a value. Maps and lists are not left to the library, which writes all elements of a
     * list as it writes the first one and has no writer for lists of lists.
     */
    private static void write(JsonWriter writer, Object value) {
        if (value instanceof Map<?, ?> map) {
            writeObject(writer, map);
        } else if (value instanceof Collection<?> list) {
            writeArray(writer, list);
        } else {
            writer.serializeObject(value);
        }
    }

    private static void writeObject(JsonWriter writer, Map<?, ?> map) {
        writer.writeByte(JsonWriter.OBJECT_START);
        boolean isFirst = true;
        for (Map.Entry<?, ?> field : map.entrySet()) {
            if (!isFirst) {
                writer.writeByte(JsonWriter.COMMA);
            }
            isFirst = false;
            writer.writeString((String) field.getKey());
            writer.writeByte(JsonWriter.SEMI);
            write(writer, field.getValue());
        }
        writer.writeByte(JsonWriter.OBJECT_END);
    }

    private static void writeArray(JsonWriter writer, Collection<?> list) {
        writer.writeByte(JsonWriter.ARRAY_START);
        boolean isFirst = true;
        for (Object element : list) {
            if (!isFirst) {
                writer.writeByte(JsonWriter.COMMA);
            }
            isFirst = false;
            write(writer, element);
        }
        writer.writeByte(JsonWriter.ARRAY_END);
    }
}
