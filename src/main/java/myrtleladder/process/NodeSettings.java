package myrtleladder.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.result.ResultCode;

/**
 * The settings file that the platform writes for a process, as TOML. Immutable; checked when read.
 * Unknown fields are ignored.
 *
 * @param nodeName {@code node_name}, unique in the fleet
 * @param role {@code role}: balancer or control
 * @param ip {@code ip}, the address at which the internal protocol listens
 * @param zone {@code zone} of the machine
 * @param region {@code region} of the machine; empty if missing
 * @param regionOfZone regions by their zones, from the zones table
 * @param firstPort first of {@code port_range}, the port of the internal protocol
 * @param seeds {@code seeds}: internal addresses of control nodes
 * @param bootstrap {@code bootstrap}: whether this node may form the first group; default false
 * @param heartbeatMs {@code heartbeat_ms}, from 1 to 600000
 * @param dataFolder {@code data_dir}; empty if missing
 * @param frontend {@code listen.frontend}, null if missing
 * @param readiness {@code listen.readiness}, null if missing
 * @param control {@code listen.control}, null if missing
 * @param toleratedMachines {@code fault_tolerance.machines}; default 0
 * @param toleratedZones {@code fault_tolerance.zones}; default 0
 * @param limits {@code limits} of the machine
 * @param bounds {@code bounds} of the rules
 * @param internal {@code internal}: where the internal protocol listens and calls
 */
public record NodeSettings(
        String nodeName,
        String role,
        String ip,
        String zone,
        String region,
        Map<String, String> regionOfZone,
        int firstPort,
        List<Address> seeds,
        boolean bootstrap,
        long heartbeatMs,
        String dataFolder,
        Address frontend,
        Address readiness,
        Address control,
        int toleratedMachines,
        int toleratedZones,
        Limits limits,
        Bounds bounds,
        InternalNetwork internal) {
    /** The environment variable that names the settings file. */
    public static final String VARIABLE = "MYRTLELADDER_CONFIG";

    /**
     * Resources of the machine.
     *
     * @param memoryMb {@code memory_mb} in MB; default 256
     * @param descriptors {@code max_fds}; default 1024
     */
    public record Limits(int memoryMb, int descriptors) {}

    /**
     * Limits and budgets.
     *
     * @param drainMs {@code drain_ms}; default 2000
     * @param configMs {@code config_ms}; default 2000
     * @param graceMs {@code grace_s}; default 8 s
     * @param budgetRatio {@code budget_ratio}, retries to requests; default 0.1
     * @param budgetWindowMs {@code budget_window_s}; default 10 s
     * @param budgetSlack {@code budget_slack}, in retries; default 0
     * @param contactMs {@code contact_ms}; default 3000
     * @param quotaOverage {@code quota_overage}, as a fraction; default 0
     * @param quotaSlack {@code quota_slack}; default 0
     * @param catchUpMs {@code catch_up_s}; default 4 s
     * @param versionMs {@code version_ms}, after which requests may not begin on older weights;
     *     default 0 for no such bound
     * @param warmupOverage {@code warmup_overage}: by which factor a cold upstream may get more
     *     requests a second than its service's {@code warmup_per_s}, at least 0; default 1
     * @param warmupSlack {@code warmup_slack}: how many requests more than that, at least 0;
     *     default 0
     */
    public record Bounds(
            long drainMs,
            long configMs,
            long graceMs,
            double budgetRatio,
            long budgetWindowMs,
            int budgetSlack,
            long contactMs,
            double quotaOverage,
            double quotaSlack,
            long catchUpMs,
            long versionMs,
            double warmupOverage,
            double warmupSlack) {}

    /**
     * Reads and checks the file that the environment names, as it is now.
     *
     * @throws SettingsException if it can't be read, is no TOML, or a setting is missing or invalid
     */
    public static NodeSettings fromEnvironment() {
        String file = System.getenv(VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new SettingsException(ResultCode.NO_SETTINGS, VARIABLE + " is not set");
        }
        return read(Path.of(file));
    }

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException as {@link #fromEnvironment}
     */
    public static NodeSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(ResultCode.NO_SETTINGS, file + " can't be read: " + e);
        }
        return parse(text);
    }

    /**
     * Parses and checks a text.
     *
     * @throws SettingsException as {@link #fromEnvironment}
     */
    public static NodeSettings parse(String text) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            String line =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw new SettingsException(ResultCode.SETTINGS_SYNTAX, line + e.getOriginalMessage());
        }
        JsonNode listen = root.path("listen");
        return new NodeSettings(
                text(root, "node_name"),
                text(root, "role"),
                text(root, "ip"),
                text(root, "zone"),
                root.path("region").asText(""),
                regions(root.path("zones")),
                firstPort(root),
                seeds(root),
                root.path("bootstrap").asBoolean(false),
                number(root, "heartbeat_ms", 1, 600_000),
                root.path("data_dir").asText(""),
                address(listen, "frontend"),
                address(listen, "readiness"),
                address(listen, "control"),
                root.path("fault_tolerance").path("machines").asInt(0),
                root.path("fault_tolerance").path("zones").asInt(0),
                limits(root.path("limits")),
                bounds(root.path("bounds")),
                InternalNetwork.read(
                        root.path("internal"), new Address(text(root, "ip"), firstPort(root))));
    }

    private static Map<String, String> regions(JsonNode zones) {
        Map<String, String> regions = new LinkedHashMap<>();
        zones.fields().forEachRemaining(e -> regions.put(e.getKey(), e.getValue().asText("")));
        return regions;
    }

    private static Limits limits(JsonNode node) {
        return new Limits(node.path("memory_mb").asInt(256), node.path("max_fds").asInt(1_024));
    }

    private static Bounds bounds(JsonNode node) {
        return new Bounds(
                node.path("drain_ms").asLong(2_000),
                node.path("config_ms").asLong(2_000),
                Math.round(node.path("grace_s").asDouble(8) * 1_000),
                node.path("budget_ratio").asDouble(0.1),
                Math.round(node.path("budget_window_s").asDouble(10) * 1_000),
                node.path("budget_slack").asInt(0),
                node.path("contact_ms").asLong(3_000),
                node.path("quota_overage").asDouble(0),
                node.path("quota_slack").asDouble(0),
                Math.round(node.path("catch_up_s").asDouble(4) * 1_000),
                node.path("version_ms").asLong(0),
                nonNegative(node, "warmup_overage", 1),
                nonNegative(node, "warmup_slack", 0));
    }

    private static double nonNegative(JsonNode node, String name, double defaultValue) {
        JsonNode value = node.path(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE, name + " is not a number from 0 on");
        }
        return value.asDouble();
    }

    private static String text(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new SettingsException(ResultCode.SETTINGS_VALUE, name + " is not a text");
        }
        return value.asText();
    }

    private static long number(JsonNode node, String name, long min, long max) {
        JsonNode value = node.path(name);
        if (!value.isNumber() || value.asLong() < min || value.asLong() > max) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE,
                    name + " is not a number from " + min + " to " + max);
        }
        return value.asLong();
    }

    private static int firstPort(JsonNode root) {
        int port = root.path("port_range").path(0).asInt(0);
        if (port < 1 || port > 65_535) {
            throw new SettingsException(
                    ResultCode.SETTINGS_VALUE, "port_range does not begin with a port");
        }
        return port;
    }

    private static List<Address> seeds(JsonNode root) {
        List<Address> seeds = new ArrayList<>();
        for (JsonNode seed : root.path("seeds")) {
            seeds.add(Address.parse("seeds", seed.asText()));
        }
        return seeds;
    }

    private static Address address(JsonNode listen, String name) {
        JsonNode value = listen.path(name);
        return value.isMissingNode() ? null : Address.parse("listen." + name, value.asText());
    }
}
