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
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.error.OperatorError.UnreadableFile;

/**
 * Deserialises TOML or JSON into records, and serialises records as TOML. Unknown keys are
 * rejected: a mistyped key would otherwise be ignored and its setting left at the default.
 * Thread-safe.
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

    /**
     * Reads a file into a record; {@link #parse} says how the format is detected.
     *
     * @throws UnreadableFile if the file is missing, can't be read or is not UTF-8
     * @throws InvalidConfigurationFile if the content is malformed or does not match the record
     */
    public static <T> T read(Path file, Class<T> type) throws OperatorError {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new UnreadableFile(file, "there is no such file");
        } catch (MalformedInputException e) {
            throw new UnreadableFile(file, "is not UTF-8");
        } catch (IOException e) {
            throw new UnreadableFile(file, "can't be read: " + e);
        }
        return parse(file, text, type);
    }

    /**
     * Parses text into a record, as JSON if it begins with a brace, else as TOML.
     *
     * @param file the file name to use in error messages
     * @throws InvalidConfigurationFile if the text is malformed or does not match the record
     */
    public static <T> T parse(Path file, String text, Class<T> type)
            throws InvalidConfigurationFile {
        try {
            return (text.stripLeading().startsWith("{") ? JSON : TOML).readValue(text, type);
        } catch (JsonMappingException e) {
            throw new InvalidConfigurationFile(
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
            throw new InvalidConfigurationFile(
                    file, at == null ? 0 : at.getLineNr(), "", e.getOriginalMessage());
        }
    }

    /**
     * Checks that a value is between {@code min} and {@code max}, inclusive.
     *
     * @throws InvalidConfigurationFile naming the key, if the value is out of range or NaN
     */
    public static void checkRange(Path file, String key, double value, double min, double max)
            throws InvalidConfigurationFile {
        if (!(value >= min && value <= max)) {
            throw new InvalidConfigurationFile(
                    file, 0, key, value + " is not within " + min + " and " + max);
        }
    }

    /** Serialises a record as TOML. */
    public static String write(Object value) throws IOException {
        return TOML.writeValueAsString(value);
    }

    /**
     * Returns the line number of the key at a path, counted from 1; 0 if it is not found, and 1 for
     * an empty path. Searches the text because Jackson's TOML parser does not record positions: for
     * each name in the path, the next line that assigns it or has it as a table header, and for an
     * index, the repetition of the header of an array of tables. Does not recognise keys of JSON.
     */
    private static int lineOf(String text, List<JsonMappingException.Reference> path) {
        String[] lines = text.split("\\R");
        int line = 0;
        for (JsonMappingException.Reference step : path) {
            if (step.getFieldName() == null) {
                String header = lines[line];
                for (int remaining = step.getIndex(); remaining > 0 && line < lines.length - 1; ) {
                    remaining -= lines[++line].equals(header) ? 1 : 0;
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
