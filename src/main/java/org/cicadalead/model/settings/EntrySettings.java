package org.cicadalead.model.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ZoneName;

/**
 * The settings of an entry process. With port 0, any free port is bound. Immutable.
 *
 * @param zone the availability zone of the process
 * @param callerAddress address that callers connect to
 * @param administrationAddress address that operators connect to
 * @param peerAddress address that other entry processes connect to
 * @param platformAddress address of the platform
 * @param peers peer addresses of the entry processes that this one contacts first
 * @param balancerDelay how long the process still accepts requests after it has reported that it is not ready
 * @param shutdownLimit maximum time that the shutdown waits for requests in flight
 * @param keyFile path of the file with the keys that entry processes and operators share; may be absent only if the
 *     peer and administration addresses are loopback addresses
 */
public record EntrySettings(
        ZoneName zone,
        BindAddress callerAddress,
        BindAddress administrationAddress,
        BindAddress peerAddress,
        NetworkAddress platformAddress,
        List<NetworkAddress> peers,
        Duration balancerDelay,
        Duration shutdownLimit,
        Optional<String> keyFile) {
    /** Load balancer delay of a process whose settings do not specify one. */
    public static final Duration DEFAULT_BALANCER_DELAY = Duration.ofSeconds(2);

    /** Shutdown limit of a process whose settings do not specify one. */
    public static final Duration DEFAULT_SHUTDOWN_LIMIT = Duration.ofSeconds(60);

    /** Copies the list. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }

    /**
     * An address to bind to. Immutable.
     *
     * @param address the IP address
     * @param port the TCP port; 0 for any free port
     */
    public record BindAddress(String address, int port) {
        private static final int MAX_PORT = 65_535;

        /** Validates the port. */
        public BindAddress {
            if (port < 0 || port > MAX_PORT) {
                throw new IllegalArgumentException("'" + port + "' is not a port between 0 and 65535");
            }
        }

        /** Parses {@code address:port}; throws {@link IllegalArgumentException} when the text has another form. */
        public static BindAddress parse(String text) {
            int separator = text.lastIndexOf(':');
            if (separator < 1 || !text.substring(separator + 1).matches("[0-9]{1,5}")) {
                throw new IllegalArgumentException("'" + text + "' is not IP number:port");
            }
            return new BindAddress(text.substring(0, separator), Integer.parseInt(text.substring(separator + 1)));
        }
    }
}
