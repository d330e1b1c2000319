package myrtleladder.process;

import myrtleladder.result.ResultCode;

/** A host by number and a port. */
public record Address(String host, int port) {
    static Address parse(String field, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // told below, as for any other text that is no address
        }
        throw new SettingsException(
                ResultCode.SETTINGS_VALUE, field + " is not an address: " + text);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
