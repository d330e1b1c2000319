package myrtleladder.loadbalancer.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.error.OperatorError.InvalidPlatformFile;
import myrtleladder.error.OperatorError.UnreadableFile;
import myrtleladder.loadbalancer.policy.SettingsCheck;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * The configuration of one load balancer, as read from its file. Immutable.
 *
 * @param listen address on which clients are accepted
 * @param discovery address of the discovery service
 * @param seed seed of the decision module's random number generator
 * @param maxFileDescriptors file descriptor limit of the process
 * @param memoryMb memory limit in megabytes
 * @param initialEndpoints the endpoint list to use until discovery responds
 * @param settings settings of the decision module, with the names of zones, kinds, classes and
 *     tenants
 */
record BalancerConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxFileDescriptors,
        int memoryMb,
        EndpointList initialEndpoints,
        SettingsReader.ParsedSettings settings) {
    static final JsonFactory JSON = new JsonFactory();

    /** File descriptor limit if the file does not set one. */
    private static final int DEFAULT_MAX_FILE_DESCRIPTORS = 1024;

    /** Memory limit if the file does not set one. */
    private static final int DEFAULT_MEMORY_MB = 192;

    /** Resource limits of the process. */
    private record MachineLimits(int sockets, int memoryMb) {}

    /**
     * Reads and checks a configuration file.
     *
     * @throws UnreadableFile if the file can't be read
     * @throws InvalidPlatformFile if the file is malformed or a setting is invalid
     */
    static BalancerConfig read(Path file) throws OperatorError {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new UnreadableFile(file, "can't be read: " + e);
        }
        try (JsonParser json = JSON.createParser(text)) {
            return read(json);
        } catch (InvalidInput e) {
            throw new InvalidPlatformFile(file, e.description());
        } catch (JsonProcessingException e) {
            throw new InvalidPlatformFile(
                    file,
                    "line "
                            + e.getLocation().getLineNr()
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidPlatformFile(file, String.valueOf(e.getMessage()));
        }
    }

    private static BalancerConfig read(JsonParser json) throws InvalidInput, IOException {
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        long seed = 0;
        MachineLimits limits = new MachineLimits(DEFAULT_MAX_FILE_DESCRIPTORS, DEFAULT_MEMORY_MB);
        EndpointList known = EndpointList.EMPTY;
        SettingsReader.ParsedSettings settings = null;
        if (json.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInput("not a JSON object");
        }
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            boolean isObject = json.nextToken() == JsonToken.START_OBJECT;
            switch (name) {
                case "listen" -> listen = parseAddress(json.getText());
                case "discovery" -> discovery = parseAddress(json.getText());
                case "seed" -> seed = parseSeed(json.getText());
                case "limits" -> limits = isObject ? readLimits(json, limits) : limits;
                case "known" -> known = isObject ? EndpointList.read(json) : known;
                case "settings" -> settings = isObject ? SettingsReader.read(json) : null;
                default -> json.skipChildren();
            }
            if (!isObject) {
                json.skipChildren(); // skips an array; no effect on a scalar
            }
        }
        EndpointList.require(listen != null, "listen");
        EndpointList.require(discovery != null, "discovery");
        EndpointList.require(settings != null, "settings");
        SettingsCheck.check(settings.balancer());
        return new BalancerConfig(
                listen, discovery, seed, limits.sockets(), limits.memoryMb(), known, settings);
    }

    /** Reads the limits present in the object; missing ones take the defaults. */
    private static MachineLimits readLimits(JsonParser json, MachineLimits defaults)
            throws IOException {
        int sockets = defaults.sockets();
        int memoryMb = defaults.memoryMb();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value.isNumeric() && name.equals("sockets")) {
                sockets = json.getIntValue();
            } else if (value.isNumeric() && name.equals("memory_mb")) {
                memoryMb = json.getIntValue();
            }
            json.skipChildren();
        }
        return new MachineLimits(sockets, memoryMb);
    }

    private static long parseSeed(String hex) throws InvalidInput {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInput("field seed is not a hex number: " + hex);
        }
    }

    /**
     * Parses {@code host:port}. The host must be an IP address, since no DNS is available.
     *
     * @throws InvalidInput if the text is not an address
     */
    static InetSocketAddress parseAddress(String text) throws InvalidInput {
        int colon = text.lastIndexOf(':');
        String name = text.substring(0, Math.max(colon, 0));
        InetAddress host = NetUtil.createInetAddressFromIpAddressString(name);
        try {
            if (host != null) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // The port is malformed; reported below.
        }
        throw new InvalidInput("not an address: " + text);
    }
}
