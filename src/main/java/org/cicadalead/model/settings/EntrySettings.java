package org.cicadalead.model.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ZoneName;

/**
 * Settings of an entry process. Immutable. Port 0 takes any free port.
 *
 * @param zone the availability zone that it stands in
 * @param callerAddress where callers reach it
 * @param administrationAddress where operators reach it
 * @param peerAddress where other entry processes reach it
 * @param platformAddress where it reaches the platform
 * @param peers peer addresses of other entry processes, to begin with
 * @param balancerDelay how long it goes on accepting after it said that it is not ready
 * @param shutdownLimit how long it waits for requests in flight
 * @param keyFile path of the file with the keys that entry processes and operators share; absent for loopback only
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
    /** Balancer's delay of a process whose settings name none. */
    public static final Duration DEFAULT_BALANCER_DELAY = Duration.ofSeconds(2);

    /** Limit of the shutdown of a process whose settings name none. */
    public static final Duration DEFAULT_SHUTDOWN_LIMIT = Duration.ofSeconds(60);

    /** Copies the list. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }

    /**
     * An address to bind. Immutable.
     *
     * @param address the IP number
     * @param port the TCP port; 0 for any free one
     */
    public record BindAddress(String address, int port) {
        private static final int MAX_PORT = 65_535;

        /** Checks the port. */
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
