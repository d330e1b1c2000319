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
 * Formats each log record as one JSON object: time, level, process, subsystem, event, the event's
 * fields, and an exception's message and stack trace (docs/command.md).
 *
 * <p>Calls Log4j's JSON template layout from a JDK formatter: this process logs through the JDK's
 * logging, so Log4j's own logging does not have to be started.
 */
final class JsonLogFormatter extends Formatter {
    private static final String TEMPLATE =
            """
            {"time": {"$resolver": "timestamp", "pattern":
                {"format": "yyyy-MM-dd'T'HH:mm:ss.SSSSSS'Z'", "timeZone": "UTC"}},
             "level": {"$resolver": "pattern", "stackTraceEnabled": false,
                "pattern": "%level{ERROR=error, WARN=warning, INFO=info, DEBUG=debug}"},
             "subsystem": {"$resolver": "logger", "field": "name"},
             "event": {"$resolver": "message", "stringified": true},
             "fields": {"$resolver": "mdc", "flatten": true},
             "error": {"$resolver": "exception", "field": "message"},
             "stack": {"$resolver": "exception", "field": "stackTrace"}}""";

    /**
     * Length, in characters, to which a string is truncated; long enough for a usual stack trace.
     */
    private static final int MAX_STRING_LENGTH = 16_384;

    private final JsonTemplateLayout layout;

    /**
     * Creates a formatter.
     *
     * @param process name of this process in each line
     */
    JsonLogFormatter(String process) {
        layout =
                JsonTemplateLayout.newBuilder()
                        .setConfiguration(new DefaultConfiguration())
                        .setEventTemplate(TEMPLATE)
                        .setMaxStringLength(MAX_STRING_LENGTH)
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
    public String format(LogRecord logRecord) {
        MutableInstant time = new MutableInstant();
        time.initFromEpochSecond(
                logRecord.getInstant().getEpochSecond(), logRecord.getInstant().getNano());
        return layout.toSerializable(
                Log4jLogEvent.newBuilder()
                        .setInstant(time)
                        .setLevel(level(logRecord.getLevel()))
                        .setLoggerName(Subsystems.forLogger(logRecord.getLoggerName()))
                        .setMessage(new SimpleMessage(formatMessage(logRecord)))
                        .setContextData(fields(logRecord.getParameters()))
                        .setThrown(logRecord.getThrown())
                        .build());
    }

    /** Collects the fields of an event from the maps among the parameters of its log record. */
    private static SortedArrayStringMap fields(Object[] parameters) {
        SortedArrayStringMap collected = new SortedArrayStringMap();
        if (parameters == null) {
            return collected;
        }
        for (Object parameter : parameters) {
            if (parameter instanceof Map<?, ?> fields) {
                fields.forEach((name, value) -> collected.putValue(name.toString(), json(value)));
            }
        }
        return collected;
    }

    /** Keeps numbers and booleans; converts other values to strings. */
    private static Object json(Object value) {
        return value instanceof Number || value instanceof Boolean ? value : String.valueOf(value);
    }

    private static Level level(java.util.logging.Level level) {
        int severity = level.intValue();
        if (severity >= java.util.logging.Level.SEVERE.intValue()) {
            return Level.ERROR;
        }
        if (severity >= java.util.logging.Level.WARNING.intValue()) {
            return Level.WARN;
        }
        if (severity >= java.util.logging.Level.INFO.intValue()) {
            return Level.INFO;
        }
        return Level.DEBUG;
    }
}
