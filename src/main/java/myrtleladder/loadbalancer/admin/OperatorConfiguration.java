package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * What operators configure in a TOML file (docs/command.md). The platform's JSON file is separate.
 * The components are named by the keys of the file. {@link OperatorConfigurationReader} reads and
 * checks it; what the file leaves out has the value of {@link #DEFAULTS}.
 *
 * @param fleet null if this process belongs to no fleet
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record OperatorConfiguration(LogSection log, AdminSection admin, FleetSection fleet) {

    /** In force without a file. */
    static final OperatorConfiguration DEFAULTS =
            new OperatorConfiguration(
                    new LogSection(LogFormat.TEXT, LogLevel.INFO, Map.of()),
                    new AdminSection(null),
                    null);

    /** Format of a line of the log. */
    enum LogFormat {
        /** As the JDK's logger writes it. */
        TEXT,
        /** One JSON object a line. */
        JSON
    }

    /** Least severity that is logged. */
    enum LogLevel {
        ERROR,
        WARNING,
        INFO,
        DEBUG
    }

    /**
     * The log.
     *
     * @param level of all subsystems that {@code levels} does not name
     * @param levels by subsystem (see {@link Subsystems})
     */
    record LogSection(LogFormat format, LogLevel level, Map<String, LogLevel> levels) {}

    /**
     * The HTTP server for operators.
     *
     * @param listen address and port on the loopback interface; null switches it off
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record AdminSection(String listen) {}

    /**
     * The fleet that this process belongs to.
     *
     * @param name of the fleet
     * @param process name of this process in it; null for the name in the log
     * @param listen address and port for datagrams
     * @param seeds addresses at which other members may be found; null for none
     * @param via addresses to send to, by the addresses that members publish; null for none
     * @param zone published to other members; null for none
     * @param council names of the voting members; null switches consensus and maintenance off
     * @param configuredLongestWorkS seconds that the maintenance of a machine may take; null for
     *     the default
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record FleetSection(
            @JsonProperty(required = true) String name,
            String process,
            @JsonProperty(required = true) String listen,
            List<String> seeds,
            Map<String, String> via,
            String zone,
            List<String> council,
            @JsonProperty("longest-work-s") Long configuredLongestWorkS) {
        /** A quarter of an hour. */
        private static final long DEFAULT_LONGEST_WORK_S = 900;

        /** Seconds that the maintenance of a machine may take. */
        long longestWorkS() {
            return configuredLongestWorkS == null ? DEFAULT_LONGEST_WORK_S : configuredLongestWorkS;
        }
    }
}
