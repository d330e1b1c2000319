package yewyoke.command;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import yewyoke.toml.BadFile;
import yewyoke.toml.TomlFile;

/**
 * What operators configure in a file of ours; the platform's JSON stays apart. What the file leaves out has
 * the value of {@link #DEFAULTS}, and with no file nothing of it is loaded.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Own(LogPart log) {
    /** What holds where a file says nothing. */
    static final Own DEFAULTS = new Own(new LogPart(LogFormat.TEXT, LogLevel.INFO, Map.of()));

    /** How a line of the log looks. */
    enum LogFormat {
        /** As the platform's own logger writes it. */ TEXT,
        /** One JSON object a line. */ JSON
    }

    /** How much is logged. */
    enum LogLevel { ERROR, WARNING, INFO, DEBUG }

    /** The log; {@code levels} has what differs from {@code level} in a subsystem, a package under ours. */
    record LogPart(LogFormat format, LogLevel level, Map<String, LogLevel> levels) { }

    /** Reads and checks a file and fills in the defaults. */
    static Own read(Path file) throws IOException, BadFile {
        Own read = TomlFile.read(file, Own.class);
        LogPart usual = DEFAULTS.log();
        LogPart log = read == null || read.log() == null ? usual : read.log();
        Map<String, LogLevel> levels = log.levels() == null ? usual.levels() : new TreeMap<>(log.levels());
        for (Map.Entry<String, LogLevel> level : levels.entrySet()) {
            if (!level.getKey().matches("[a-z]+(\\.[a-z]+)*")) {
                throw new BadFile(file, 0, "log.levels." + level.getKey(), "is not a subsystem as node");
            }
        }
        return new Own(new LogPart(log.format() == null ? usual.format() : log.format(),
                log.level() == null ? usual.level() : log.level(), levels));
    }
}
