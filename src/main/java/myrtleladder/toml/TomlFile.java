package myrtleladder.toml;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.BadFile;
import myrtleladder.error.OperatorError.NoFile;

/**
 * Reads TOML into records and refuses what it does not know: a mistyped key must not pass for a
 * default.
 */
public final class TomlFile {
    private static final TomlMapper TOML =
            TomlMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .build();

    private static final JsonMapper JSON =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .build();

    private TomlFile() {}

    /** Reads a whole file as one record. */
    public static <T> T read(Path file, Class<T> type) throws OperatorError {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new NoFile(file, "there is no such file");
        } catch (MalformedInputException e) {
            throw new NoFile(file, "is not UTF-8");
        } catch (IOException e) {
            throw new NoFile(file, "can't be read: " + e);
        }
        return parse(file, text, type);
    }

    /**
     * Reads a text as one record, as JSON if it begins as that does; {@code file} names it in
     * errors.
     */
    public static <T> T parse(Path file, String text, Class<T> type) throws BadFile {
        try {
            return (text.stripLeading().startsWith("{") ? JSON : TOML).readValue(text, type);
        } catch (JsonMappingException e) {
            throw new BadFile(
                    file,
                    lineOf(text, e.getPath()),
                    e.getPath().stream()
                            .map(
                                    r ->
                                            r.getFieldName() == null
                                                    ? "[" + r.getIndex() + "]"
                                                    : r.getFieldName())
                            .collect(Collectors.joining("."))
                            .replace(".[", "["),
                    e.getOriginalMessage()
                            .lines()
                            .findFirst()
                            .orElse("")
                            .replaceAll(" \\(class .*", ""));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new BadFile(file, at == null ? 0 : at.getLineNr(), "", e.getOriginalMessage());
        }
    }

    /** Refuses a value outside of its range, by its key. */
    public static void range(Path file, String key, double value, double least, double most)
            throws BadFile {
        if (!(value >= least && value <= most)) {
            throw new BadFile(file, 0, key, value + " is not within " + least + " and " + most);
        }
    }

    /** A record as TOML. */
    public static String write(Object value) throws IOException {
        return TOML.writeValueAsString(value);
    }

    /**
     * Where a key stands; the library reads the whole file first and forgets it. 0 if it stands
     * nowhere.
     */
    private static int lineOf(String text, List<JsonMappingException.Reference> path) {
        String[] lines = text.split("\\R");
        int line = 0;
        for (JsonMappingException.Reference step : path) {
            if (step.getFieldName() == null) {
                String header = lines[line];
                for (int left = step.getIndex(); left > 0 && line < lines.length - 1; ) {
                    left -= lines[++line].equals(header) ? 1 : 0;
                }
                continue;
            }
            String name = Pattern.quote(step.getFieldName());
            Pattern key = Pattern.compile("\\s*(\\[+" + name + "\\]+|\"?" + name + "\"?\\s*=).*");
            while (line < lines.length && !key.matcher(lines[line]).matches()) {
                line++;
            }
            if (line == lines.length) {
                return 0;
            }
        }
        return line + 1;
    }
}
