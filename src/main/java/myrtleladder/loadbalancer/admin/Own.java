package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.BadFile;
import myrtleladder.toml.TomlFile;

/**
 * What operators configure in a file of ours; the platform's JSON stays apart. What the file leaves
 * out has the value of {@link #DEFAULTS}, and with no file nothing of it is loaded.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Own(LogPart log, AdminPart admin, FleetPart fleet) {
    private static final int MOST_PORT = 65_535;
    private static final int LONGEST = 64;
    private static final int DAY_S = 86_400;

    /** What holds where a file says nothing. */
    static final Own DEFAULTS =
            new Own(
                    new LogPart(LogFormat.TEXT, LogLevel.INFO, Map.of()),
                    new AdminPart(null),
                    null);

    /** How a line of the log looks. */
    enum LogFormat {
        /** As the platform's own logger writes it. */
        TEXT,
        /** One JSON object a line. */
        JSON
    }

    /** How much is logged. */
    enum LogLevel {
        ERROR,
        WARNING,
        INFO,
        DEBUG
    }

    /**
     * The log; {@code levels} has what differs from {@code level} in a subsystem, a package under
     * ours.
     */
    record LogPart(LogFormat format, LogLevel level, Map<String, LogLevel> levels) {}

    /**
     * What operators read; {@code listen} is an address and port of the loopback, without one it is
     * off.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record AdminPart(String listen) {}

    /**
     * The fleet that this process is a member of; without it, it shares nothing.
     *
     * @param name of the fleet
     * @param process this one's name in it; left out, the name of the process as the log has it
     * @param via addresses to send to in place of those that members tell
     * @param council names of the processes that decide for all; without it nothing is agreed on
     * @param longestWork seconds that the work on a machine takes at most
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record FleetPart(
            @JsonProperty(required = true) String name,
            String process,
            @JsonProperty(required = true) String listen,
            List<String> seeds,
            Map<String, String> via,
            String zone,
            List<String> council,
            @JsonProperty("longest-work-s") Long longestWork) {
        private static final long USUAL_WORK_S = 900;

        long longestWorkS() {
            return longestWork == null ? USUAL_WORK_S : longestWork;
        }
    }

    /** Reads and checks a file and fills in the defaults. */
    static Own read(Path file) throws OperatorError {
        Own read = TomlFile.read(file, Own.class);
        LogPart usual = DEFAULTS.log();
        LogPart log = read == null || read.log() == null ? usual : read.log();
        Map<String, LogLevel> levels =
                log.levels() == null ? usual.levels() : new TreeMap<>(log.levels());
        for (Map.Entry<String, LogLevel> level : levels.entrySet()) {
            if (!level.getKey().matches("[a-z]+(\\.[a-z]+)*")) {
                throw new BadFile(
                        file, 0, "log.levels." + level.getKey(), "is not a subsystem as node");
            }
        }
        AdminPart admin = read == null || read.admin() == null ? DEFAULTS.admin() : read.admin();
        if (admin.listen() != null
                && !address(file, "admin.listen", admin.listen())
                        .getAddress()
                        .isLoopbackAddress()) {
            throw new BadFile(file, 0, "admin.listen", admin.listen() + " is not of the loopback");
        }
        FleetPart fleet = read == null ? null : read.fleet();
        if (fleet != null) {
            check(file, fleet);
        }
        return new Own(
                new LogPart(
                        log.format() == null ? usual.format() : log.format(),
                        log.level() == null ? usual.level() : log.level(),
                        levels),
                admin,
                fleet);
    }

    private static void check(Path file, FleetPart fleet) throws BadFile {
        require(
                file,
                "fleet.name",
                fleet.name(),
                !fleet.name().isBlank() && fleet.name().length() <= LONGEST);
        require(
                file,
                "fleet.process",
                fleet.process(),
                fleet.process() == null
                        || !fleet.process().isBlank() && fleet.process().length() <= LONGEST);
        require(
                file,
                "fleet.zone",
                fleet.zone(),
                fleet.zone() == null || fleet.zone().length() <= LONGEST);
        address(file, "fleet.listen", fleet.listen());
        TomlFile.checkRange(file, "fleet.longest-work-s", fleet.longestWorkS(), 1, DAY_S);
        if (fleet.council() != null) {
            try {
                ConsensusSettings.of(fleet.name(), fleet.council());
            } catch (IllegalArgumentException e) {
                throw new BadFile(file, 0, "fleet.council", e.getMessage());
            }
        }
        for (String seed : fleet.seeds() == null ? List.<String>of() : fleet.seeds()) {
            address(file, "fleet.seeds", seed);
        }
        for (var way : (fleet.via() == null ? Map.<String, String>of() : fleet.via()).entrySet()) {
            address(file, "fleet.via", way.getKey());
            address(file, "fleet.via", way.getValue());
        }
    }

    private static void require(Path file, String key, String value, boolean good) throws BadFile {
        if (!good) {
            throw new BadFile(file, 0, key, "\"" + value + "\" is empty or too long");
        }
    }

    /** An address and port as {@code 127.0.0.1:9464}; there is no DNS, so it has to be numbers. */
    static InetSocketAddress address(Path file, String key, String text) throws BadFile {
        int colon = text.lastIndexOf(':');
        byte[] host =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host != null) {
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                TomlFile.checkRange(file, key, port, 0, MOST_PORT);
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            } catch (NumberFormatException | UnknownHostException e) {
                throw new BadFile(
                        file, 0, key, text + " is not an address and port as 127.0.0.1:9464");
            }
        }
        throw new BadFile(file, 0, key, text + " is not an address and port as 127.0.0.1:9464");
    }
}
