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
import myrtleladder.error.OperatorError.BadConfiguration;
import myrtleladder.error.OperatorError.BadInput;
import myrtleladder.error.OperatorError.NoFile;
import myrtleladder.loadbalancer.policy.SettingsCheck;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * What this balancer is told at its start: addresses, limits, the list as last held, and the
 * settings.
 */
record BalancerConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        int memoryMb,
        EndpointList known,
        SettingsReader.ParsedSettings facts) {
    static final JsonFactory JSON = new JsonFactory();
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;

    static BalancerConfig read(Path file) throws OperatorError {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new NoFile(file, "can't be read: " + e);
        }
        try (JsonParser json = JSON.createParser(text)) {
            return read(json);
        } catch (BadInput e) {
            throw new BadConfiguration(file, e.what());
        } catch (JsonProcessingException e) {
            throw new BadConfiguration(
                    file,
                    "line "
                            + e.getLocation().getLineNr()
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadConfiguration(file, String.valueOf(e.getMessage()));
        }
    }

    private static BalancerConfig read(JsonParser json) throws BadInput, IOException {
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        long seed = 0;
        int[] limits = {DEFAULT_SOCKETS, DEFAULT_MEMORY_MB};
        EndpointList known = EndpointList.EMPTY;
        SettingsReader.ParsedSettings facts = null;
        if (json.nextToken() != JsonToken.START_OBJECT) {
            throw new BadInput("not a JSON object");
        }
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            switch (name) {
                case "listen" -> listen = address(json.getText());
                case "discovery" -> discovery = address(json.getText());
                case "seed" -> seed = seed(json.getText());
                case "limits" -> limits(json, limits);
                case "known" ->
                        known = value == JsonToken.START_OBJECT ? EndpointList.read(json) : known;
                case "settings" ->
                        facts = value == JsonToken.START_OBJECT ? SettingsReader.read(json) : null;
                default -> json.skipChildren();
            }
        }
        EndpointList.require(listen != null, "listen");
        EndpointList.require(discovery != null, "discovery");
        EndpointList.require(facts != null, "settings");
        SettingsCheck.check(facts.settings());
        return new BalancerConfig(listen, discovery, seed, limits[0], limits[1], known, facts);
    }

    /** Reads descriptors and megabytes, as far as they are told. */
    private static void limits(JsonParser json, int[] into) throws IOException {
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value.isNumeric() && name.equals("sockets")) {
                into[0] = json.getIntValue();
            } else if (value.isNumeric() && name.equals("memory_mb")) {
                into[1] = json.getIntValue();
            }
            json.skipChildren();
        }
    }

    private static long seed(String hex) throws BadInput {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new BadInput("field seed is not a hex number: " + hex);
        }
    }

    /** Reads {@code host:port}; there is no DNS, so the host must be an address. */
    static InetSocketAddress address(String text) throws BadInput {
        int colon = text.lastIndexOf(':');
        String name = text.substring(0, Math.max(colon, 0));
        InetAddress host = NetUtil.createInetAddressFromIpAddressString(name);
        try {
            if (host != null) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // a bad port; the one complaint below serves for it too
        }
        throw new BadInput("not an address: " + text);
    }
}
