package myrtleladder.loadbalancer.admin;

import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.core.time.MutableInstant;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout.EventTemplateAdditionalField;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.util.SortedArrayStringMap;

/**
 * One JSON object a line: time, level, process, subsystem, event and fields, as Log4j's layout
 * writes them. It formats for the logger of the platform, which the program writes to anyway: a
 * second logging system would be one more to start.
 */
final class JsonLines extends Formatter {
    private static final String TEMPLATE =
            """
            {"time": {"$resolver": "timestamp", "pattern":
                {"format": "yyyy-MM-dd'T'HH:mm:ss.SSSSSS'Z'", "timeZone": "UTC"}},
             "level": {"$resolver": "level", "field": "name"},
             "subsystem": {"$resolver": "logger", "field": "name"},
             "event": {"$resolver": "message", "stringified": true},
             "fields": {"$resolver": "mdc", "flatten": true},
             "error": {"$resolver": "exception", "field": "message"},
             "stack": {"$resolver": "exception", "field": "stackTrace"}}""";
    private static final Level ERROR = Level.forName("error", Level.ERROR.intLevel() + 1);
    private static final Level WARNING = Level.forName("warning", Level.WARN.intLevel() + 1);
    private static final Level INFO = Level.forName("info", Level.INFO.intLevel() + 1);
    private static final Level DEBUG = Level.forName("debug", Level.DEBUG.intLevel() + 1);

    private final JsonTemplateLayout layout;

    /** Lines that carry the name of this process. */
    JsonLines(String process) {
        layout =
                JsonTemplateLayout.newBuilder()
                        .setConfiguration(new DefaultConfiguration())
                        .setEventTemplate(TEMPLATE)
                        .setMaxStringLength(16_384)
                        .setEventTemplateAdditionalFields(
                                new EventTemplateAdditionalField[] {
                                    EventTemplateAdditionalField.newBuilder()
                                            .setKey("process")
                                            .setValue(process)
                                            .build()
                                })
                        .build();
    }

    @Override
    public String format(LogRecord line) {
        MutableInstant at = new MutableInstant();
        at.initFromEpochSecond(line.getInstant().getEpochSecond(), line.getInstant().getNano());
        return layout.toSerializable(
                Log4jLogEvent.newBuilder()
                        .setInstant(at)
                        .setLevel(level(line.getLevel()))
                        .setLoggerName(Subsystems.of(line.getLoggerName()))
                        .setMessage(new SimpleMessage(formatMessage(line)))
                        .setContextData(fields(line.getParameters()))
                        .setThrown(line.getThrown())
                        .build());
    }

    /** A map among the parameters of a line holds its fields. */
    private static SortedArrayStringMap fields(Object[] parameters) {
        SortedArrayStringMap all = new SortedArrayStringMap();
        for (Object parameter : parameters == null ? new Object[0] : parameters) {
            if (parameter instanceof Map<?, ?> fields) {
                fields.forEach(
                        (name, value) ->
                                all.putValue(
                                        name.toString(),
                                        value instanceof Number || value instanceof Boolean
                                                ? value
                                                : String.valueOf(value)));
            }
        }
        return all;
    }

    private static Level level(java.util.logging.Level level) {
        int value = level.intValue();
        return value >= java.util.logging.Level.SEVERE.intValue()
                ? ERROR
                : value >= java.util.logging.Level.WARNING.intValue()
                        ? WARNING
                        : value >= java.util.logging.Level.INFO.intValue() ? INFO : DEBUG;
    }
}
