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
 * The configuration of one balancer, as its file has it. Immutable.
 *
 * @param listen address for clients
 * @param discovery address of discovery
 * @param seed of the decision module's random numbers
 * @param sockets limit of file descriptors
 * @param memoryMb limit of memory in megabytes
 * @param known the endpoint list known before the start
 * @param settings of the decision module, and names
 */
record BalancerConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        int memoryMb,
        EndpointList known,
        SettingsReader.ParsedSettings settings) {
    static final JsonFactory JSON = new JsonFactory();

    /** Limit of file descriptors where the file has none. */
    private static final int DEFAULT_SOCKETS = 1024;

    /** Limit of memory where the file has none. */
    private static final int DEFAULT_MEMORY_MB = 192;

    /** The machine's limits. */
    private record MachineLimits(int sockets, int memoryMb) {}

    /**
     * Reads and checks a configuration file.
     *
     * @throws NoFile if it can't be read
     * @throws BadConfiguration if it is malformed or a setting is invalid
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
        MachineLimits limits = new MachineLimits(DEFAULT_SOCKETS, DEFAULT_MEMORY_MB);
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
                json.skipChildren(); // of an array; a scalar has none
            }
        }
        EndpointList.require(listen != null, "listen");
        EndpointList.require(discovery != null, "discovery");
        EndpointList.require(settings != null, "settings");
        SettingsCheck.check(settings.balancer());
        return new BalancerConfig(
                listen, discovery, seed, limits.sockets(), limits.memoryMb(), known, settings);
    }

    /** Reads the limits that are there; the others stay as they were. */
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
     * Parses {@code host:port}; there is no DNS, so the host must be an IP address.
     *
     * @throws BadInput if it is not an address
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
            // A malformed port; the message below serves for it too.
        }
        throw new InvalidInput("not an address: " + text);
    }
}
