package myrtleladder.http;

import java.util.Optional;

/**
 * An address that another process or an upstream reported, as {@code HOST:PORT}.
 *
 * @param host the IP address or host name, not empty
 * @param port the port, from 1 to 65535
 */
public record NetworkAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Parses a text, which may come from anyone; empty if it is no address. */
    public static Optional<NetworkAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port > 0 && port <= MAX_PORT
                    ? Optional.of(new NetworkAddress(text.substring(0, colon), port))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
