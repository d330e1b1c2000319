package yewyoke.command;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
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
record Own(LogPart log, MetricsPart metrics) {
    private static final int MOST_PORT = 65_535;
    /** What holds where a file says nothing. */
    static final Own DEFAULTS = new Own(new LogPart(LogFormat.TEXT, LogLevel.INFO, Map.of()),
            new MetricsPart(null));

    /** How a line of the log looks. */
    enum LogFormat {
        /** As the platform's own logger writes it. */ TEXT,
        /** One JSON object a line. */ JSON
    }

    /** How much is logged. */
    enum LogLevel { ERROR, WARNING, INFO, DEBUG }

    /** The log; {@code levels} has what differs from {@code level} in a subsystem, a package under ours. */
    record LogPart(LogFormat format, LogLevel level, Map<String, LogLevel> levels) { }

    /** Figures for reading; {@code listen} is an address and port of the loopback, without one it is off. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record MetricsPart(String listen) { }

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
        MetricsPart metrics = read == null || read.metrics() == null ? DEFAULTS.metrics() : read.metrics();
        if (metrics.listen() != null) {
            address(file, "metrics.listen", metrics.listen());
        }
        return new Own(new LogPart(log.format() == null ? usual.format() : log.format(),
                log.level() == null ? usual.level() : log.level(), levels), metrics);
    }

    /** An address and port as {@code 127.0.0.1:9464}; nothing of ours is open to other machines. */
    static InetSocketAddress address(Path file, String key, String text) throws BadFile {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (host != null && InetAddress.getByAddress(host).isLoopbackAddress()) {
                int port = Integer.parseInt(text.substring(colon + 1));
                TomlFile.range(file, key, port, 0, MOST_PORT);
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            throw new BadFile(file, 0, key, text + " is not an address and port as 127.0.0.1:9464");
        }
        throw new BadFile(file, 0, key, text + " is not an address and port of the loopback");
    }
}
