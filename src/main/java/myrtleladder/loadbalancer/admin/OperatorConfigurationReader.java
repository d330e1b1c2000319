package myrtleladder.loadbalancer.admin;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.loadbalancer.admin.OperatorConfiguration.AdminSection;
import myrtleladder.loadbalancer.admin.OperatorConfiguration.FleetSection;
import myrtleladder.loadbalancer.admin.OperatorConfiguration.LogLevel;
import myrtleladder.loadbalancer.admin.OperatorConfiguration.LogSection;
import myrtleladder.toml.TomlFile;

/** Reads an {@link OperatorConfiguration}, validates each value and applies the defaults. */
final class OperatorConfigurationReader {
    private static final Pattern SUBSYSTEM = Pattern.compile("[a-z]+(\\.[a-z]+)*");
    private static final int MAX_PORT = 65_535;

    /** Maximum characters of a name, as in the datagrams of the fleet. */
    private static final int MAX_NAME_LENGTH = 64;

    /** Upper bound of {@code fleet.longest-work-s}: one day. */
    private static final int MAX_LONGEST_WORK_S = 86_400;

    private final Path file;

    private OperatorConfigurationReader(Path file) {
        this.file = file;
    }

    /**
     * Reads and validates a file.
     *
     * @throws OperatorError if the file is unreadable or invalid, naming file, line and key
     */
    static OperatorConfiguration read(Path file) throws OperatorError {
        OperatorConfiguration read = TomlFile.read(file, OperatorConfiguration.class);
        return new OperatorConfigurationReader(file)
                .withDefaults(read == null ? new OperatorConfiguration(null, null, null) : read);
    }

    private OperatorConfiguration withDefaults(OperatorConfiguration read) throws OperatorError {
        LogSection log = withDefaults(read.log());
        AdminSection admin =
                read.admin() == null ? OperatorConfiguration.DEFAULTS.admin() : read.admin();
        check(admin);
        if (read.fleet() != null) {
            check(read.fleet());
        }
        return new OperatorConfiguration(log, admin, read.fleet());
    }

    private LogSection withDefaults(LogSection read) throws InvalidConfigurationFile {
        LogSection defaults = OperatorConfiguration.DEFAULTS.log();
        if (read == null) {
            return defaults;
        }
        Map<String, LogLevel> levels =
                read.levels() == null ? defaults.levels() : new TreeMap<>(read.levels());
        for (String subsystem : levels.keySet()) {
            if (!SUBSYSTEM.matcher(subsystem).matches()) {
                throw new InvalidConfigurationFile(
                        file, 0, "log.levels." + subsystem, "is not a subsystem as node");
            }
        }
        return new LogSection(
                read.format() == null ? defaults.format() : read.format(),
                read.level() == null ? defaults.level() : read.level(),
                levels);
    }

    private void check(AdminSection admin) throws OperatorError {
        if (admin.listen() == null) {
            return;
        }
        InetSocketAddress listen = parseAddress(file, "admin.listen", admin.listen());
        if (!listen.getAddress().isLoopbackAddress()) {
            throw new InvalidConfigurationFile(
                    file, 0, "admin.listen", admin.listen() + " is not of the loopback");
        }
    }

    private void check(FleetSection fleet) throws OperatorError {
        checkName("fleet.name", fleet.name());
        if (fleet.process() != null) {
            checkName("fleet.process", fleet.process());
        }
        if (fleet.zone() != null && fleet.zone().length() > MAX_NAME_LENGTH) {
            throw invalidName("fleet.zone", fleet.zone());
        }
        parseAddress(file, "fleet.listen", fleet.listen());
        TomlFile.checkRange(
                file, "fleet.longest-work-s", fleet.longestWorkS(), 1, MAX_LONGEST_WORK_S);
        checkCouncil(fleet);
        if (fleet.seeds() != null) {
            for (String seed : fleet.seeds()) {
                parseAddress(file, "fleet.seeds", seed);
            }
        }
        if (fleet.via() != null) {
            for (Map.Entry<String, String> translation : fleet.via().entrySet()) {
                parseAddress(file, "fleet.via", translation.getKey());
                parseAddress(file, "fleet.via", translation.getValue());
            }
        }
    }

    private void checkCouncil(FleetSection fleet) throws InvalidConfigurationFile {
        List<String> council = fleet.council();
        if (council == null) {
            return;
        }
        try {
            ConsensusSettings.of(fleet.name(), council);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationFile(file, 0, "fleet.council", e.getMessage());
        }
    }

    private void checkName(String key, String name) throws InvalidConfigurationFile {
        if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
            throw invalidName(key, name);
        }
    }

    private InvalidConfigurationFile invalidName(String key, String name) {
        return new InvalidConfigurationFile(file, 0, key, "\"" + name + "\" is empty or too long");
    }

    /**
     * Parses an address and port, as {@code 127.0.0.1:9464}. The address has to be numeric: host
     * names are never resolved.
     *
     * @param file file that contains the text, for the error
     * @param key key whose value is the text, for the error
     * @throws InvalidConfigurationFile if the text is not an address and port
     */
    static InetSocketAddress parseAddress(Path file, String key, String text)
            throws InvalidConfigurationFile {
        int colon = text.lastIndexOf(':');
        byte[] host =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw invalidAddress(file, key, text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            TomlFile.checkRange(file, key, port, 0, MAX_PORT);
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw invalidAddress(file, key, text);
        }
    }

    private static InvalidConfigurationFile invalidAddress(Path file, String key, String text) {
        return new InvalidConfigurationFile(
                file, 0, key, text + " is not an address and port as 127.0.0.1:9464");
    }
}
