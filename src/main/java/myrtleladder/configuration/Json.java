package myrtleladder.configuration;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.JsonWriter;
import com.dslplatform.json.ObjectConverter;
import com.dslplatform.json.ParsingException;
import java.io.IOException;
import java.util.Map;
import myrtleladder.result.ResultCode;

/**
 * Reads and writes JSON objects as trees of maps and lists that keep the order of their fields.
 * Thread-safe.
 */
public final class Json {
    private static final DslJson<Object> LIBRARY = new DslJson<>(new DslJson.Settings<>());

    private Json() {}

    /**
     * Reads a document, which has to be one object with nothing behind it.
     *
     * @throws ConfigurationException with {@code CONFIGURATION_SYNTAX} if it is none
     */
    public static Map<String, Object> readObject(byte[] bytes) {
        try {
            JsonReader<Object> reader = LIBRARY.newReader(bytes);
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
        } catch (IOException e) {
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_SYNTAX, "cut short: " + e.getMessage());
        }
    }

    /** Writes a tree as UTF-8 without white space. */
    public static byte[] write(Map<String, Object> tree) {
        JsonWriter writer = LIBRARY.newWriter();
        try {
            LIBRARY.serialize(writer, tree);
        } catch (IOException e) {
            throw new IllegalStateException("a tree in memory can't fail to be written", e);
        }
        return writer.toByteArray();
    }
}
