package org.cicadalead.model.configuration;

/**
 * An IP address and a TCP port. Immutable.
 *
 * @param address the IP address
 * @param port the TCP port, 1 to 65535
 */
public record NetworkAddress(String address, int port) {
    private static final int MAX_PORT = 65_535;

    /** Validates the address and the port. */
    public NetworkAddress {
        if (address.isBlank() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("'" + address + ":" + port + "' is not IP number:port");
        }
    }

    /** Parses {@code address:port}; throws {@link IllegalArgumentException} when the text has another form. */
    public static NetworkAddress parse(String text) {
        int separator = text.lastIndexOf(':');
        if (separator < 1) {
            throw new IllegalArgumentException("'" + text + "' is not IP number:port");
        }
        try {
            return new NetworkAddress(text.substring(0, separator), Integer.parseInt(text.substring(separator + 1)));
        } catch (NumberFormatException invalidPort) {
            throw new IllegalArgumentException("'" + text + "' is not IP number:port", invalidPort);
        }
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
