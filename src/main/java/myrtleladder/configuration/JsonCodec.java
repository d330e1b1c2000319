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
 * Parses and serializes JSON objects as trees of maps and lists. The maps preserve the order of the
 * fields. Thread-safe.
 */
public final class JsonCodec {
    private static final DslJson<Object> DSL_JSON = new DslJson<>(new DslJson.Settings<>());

    private JsonCodec() {}

    /**
     * Parses a document, which must be a single JSON object; only white space and control
     * characters may follow it.
     *
     * @throws ConfigurationException with {@code CONFIGURATION_SYNTAX} if it is anything else
     */
    public static Map<String, Object> parseObject(byte[] bytes) {
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
        } catch (IOException e) {
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_SYNTAX, "cut short: " + e.getMessage());
        }
    }

    /** Serializes a tree to UTF-8 without white space. */
    public static byte[] serialize(Map<String, Object> tree) {
        JsonWriter writer = DSL_JSON.newWriter();
        try {
            DSL_JSON.serialize(writer, tree);
        } catch (IOException e) {
            throw new IllegalStateException("failed to serialize JSON to memory", e);
        }
        return writer.toByteArray();
    }
}
