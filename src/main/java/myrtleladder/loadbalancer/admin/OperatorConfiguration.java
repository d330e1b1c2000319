package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * The operators' configuration, a TOML file (docs/command.md). The platform's JSON file is
 * separate. Record components have the names of the file's keys. {@link
 * OperatorConfigurationReader} reads and validates the file; keys that it leaves out have the
 * values of {@link #DEFAULTS}.
 *
 * @param fleet null if this process belongs to no fleet
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record OperatorConfiguration(LogSection log, AdminSection admin, FleetSection fleet) {

    /** The configuration used without a file. */
    static final OperatorConfiguration DEFAULTS =
            new OperatorConfiguration(
                    new LogSection(LogFormat.TEXT, LogLevel.INFO, Map.of()),
                    new AdminSection(null),
                    null);

    /** Format of the log. */
    enum LogFormat {
        /** The JDK's default format. */
        TEXT,
        /** One JSON object per line. */
        JSON
    }

    /** Minimum severity that is logged. */
    enum LogLevel {
        ERROR,
        WARNING,
        INFO,
        DEBUG
    }

    /**
     * The log.
     *
     * @param level default level of subsystems not listed in {@code levels}
     * @param levels level by name of the subsystem (see {@link Subsystems})
     */
    record LogSection(LogFormat format, LogLevel level, Map<String, LogLevel> levels) {}

    /**
     * The HTTP server for operators.
     *
     * @param listen address and port on the loopback interface; null disables the server
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record AdminSection(String listen) {}

    /**
     * The fleet that this process belongs to.
     *
     * @param name name of the fleet
     * @param process name of this process in the fleet; null for the name used in the log
     * @param listen address and port for datagrams
     * @param seeds addresses of other members to contact at the start; null for none
     * @param via address translation: the address to send to, by the address that a member
     *     publishes; null for none
     * @param zone zone published to other members; null for none
     * @param council names of the voting members; null disables consensus and maintenance
     * @param configuredLongestWorkS maximum seconds for the maintenance of a machine; null for the
     *     default
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
        /** 15 minutes. */
        private static final long DEFAULT_LONGEST_WORK_S = 900;

        /** Maximum seconds for the maintenance of a machine, with the default applied. */
        long longestWorkS() {
            return configuredLongestWorkS == null ? DEFAULT_LONGEST_WORK_S : configuredLongestWorkS;
        }
    }
}
