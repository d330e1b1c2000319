package myrtleladder.maintenance;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Objects of text, whole numbers, truths, objects and lists as JSON, and back; an absent value is
 * null.
 */
final class JsonMaps {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonMaps() {}

    /** Names and values in turn. */
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i + 1] != null) {
                map.put((String) pairs[i], pairs[i + 1]);
            }
        }
        return map;
    }

    static String text(Map<String, Object> map, String name) {
        return (String) map.get(name);
    }

    static long number(Map<String, Object> map, String name) {
        return map.get(name) instanceof Long number ? number : 0;
    }

    @SuppressWarnings("unchecked") // what is no such list or object fails where it is used
    static List<Map<String, Object>> list(Map<String, Object> map, String name) {
        return (List<Map<String, Object>>) map.getOrDefault(name, List.of());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Map<String, Object> map, String name) {
        return (Map<String, Object>) map.get(name);
    }

    static byte[] write(Map<String, Object> map) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            write(json, map);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no file behind it
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            json.writeStartObject();
            for (Map.Entry<?, ?> e : map.entrySet()) {
                json.writeFieldName((String) e.getKey());
                write(json, e.getValue());
            }
            json.writeEndObject();
        } else if (value instanceof List<?> list) {
            json.writeStartArray();
            for (Object item : list) {
                write(json, item);
            }
            json.writeEndArray();
        } else if (value instanceof Long number) {
            json.writeNumber(number);
        } else if (value instanceof Boolean truth) {
            json.writeBoolean(truth);
        } else {
            json.writeString((String) value);
        }
    }

    /** Refuses what is not such an object by an IOException. */
    static Map<String, Object> read(byte[] bytes) throws IOException {
        try (JsonParser json = JSON.createParser(bytes)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            return object(json);
        }
    }

    private static Map<String, Object> object(JsonParser json) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            map.put(name, value(json));
        }
        return map;
    }

    private static Object value(JsonParser json) throws IOException {
        return switch (json.currentToken()) {
            case START_OBJECT -> object(json);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(json));
                }
                yield list;
            }
            case VALUE_NUMBER_INT -> json.getLongValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_STRING -> json.getText();
            default -> throw new IOException("not a value of ours: " + json.currentToken());
        };
    }
}
