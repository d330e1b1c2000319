package yewyoke.command;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * One JSON object a line: time, level, process, subsystem, event and fields. It formats for the logger of the
 * platform, which the program writes to anyway: a second logging system would be one more to start.
 */
final class JsonLines extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String OURS = "yewyoke.";

    private final String process;

    /** Lines that carry the name of this process. */
    JsonLines(String process) {
        this.process = process;
    }

    @Override public String format(LogRecord line) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("time", line.getInstant().toString());
            json.writeStringField("level", level(line.getLevel()));
            json.writeStringField("process", process);
            json.writeStringField("subsystem", subsystem(line.getLoggerName()));
            json.writeStringField("event", formatMessage(line));
            fields(json, line.getParameters());
            if (line.getThrown() != null) {
                json.writeStringField("error", line.getThrown().toString());
                json.writeArrayFieldStart("stack");
                for (StackTraceElement frame : line.getThrown().getStackTrace()) {
                    json.writeString(frame.toString());
                }
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no file behind it
        }
        return text.append('\n').toString();
    }

    /** A map among the parameters of a line holds its fields. */
    private static void fields(JsonGenerator json, Object[] parameters) throws IOException {
        for (Object parameter : parameters == null ? new Object[0] : parameters) {
            if (parameter instanceof Map<?, ?> fields) {
                for (Map.Entry<?, ?> field : fields.entrySet()) {
                    json.writeFieldName(field.getKey().toString());
                    if (field.getValue() instanceof Long number) {
                        json.writeNumber(number);
                    } else if (field.getValue() instanceof Integer number) {
                        json.writeNumber(number);
                    } else if (field.getValue() instanceof Double number && Double.isFinite(number)) {
                        json.writeNumber(number);
                    } else if (field.getValue() instanceof Boolean truth) {
                        json.writeBoolean(truth);
                    } else {
                        json.writeString(String.valueOf(field.getValue()));
                    }
                }
            }
        }
    }

    private static String level(Level level) {
        int value = level.intValue();
        return value >= Level.SEVERE.intValue() ? "error" : value >= Level.WARNING.intValue() ? "warning"
                : value >= Level.INFO.intValue() ? "info" : "debug";
    }

    /** The package under ours, as {@code node}; whole names for those of others. */
    private static String subsystem(String logger) {
        if (logger == null || !logger.startsWith(OURS)) {
            return String.valueOf(logger);
        }
        int end = logger.lastIndexOf('.');
        return end < OURS.length() ? "decisions" : logger.substring(OURS.length(), end);
    }
}
