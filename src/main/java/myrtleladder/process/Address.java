package myrtleladder.process;

import myrtleladder.result.ResultCode;

/**
 * An address to listen at or connect to.
 *
 * @param host the IP address or host name
 * @param port the port, from 1 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code HOST:PORT}.
     *
     * @param field the name of the setting, for the message
     * @throws SettingsException if the text is no address
     */
    static Address parse(String field, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below, as any other text that is no address
        }
        throw new SettingsException(
                ResultCode.SETTINGS_VALUE, field + " is not an address: " + text);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
