package org.cicadalead.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * The settings that the platform passes to a process. Unknown keys are ignored. Immutable.
 *
 * @param nodeName name of this host
 * @param zone availability zone of this host
 * @param ip the IP address of this host
 * @param frontendAddress address that accepts callers' connections
 * @param readyAddress address at which the platform checks whether this process is ready for connections
 * @param internalPort first port of the range for connections between processes
 * @param storeAddress address of the store
 * @param machineServiceAddress address of the platform's machine interface
 * @param machineOrdersPerSecond number of orders for machines that the platform accepts in a second
 * @param advisorAddress address of the external policy service; empty when there is none
 * @param cpuShare share of a processor core that this process may use (a ratio)
 * @param graceMilliseconds time between the signal to stop and the forced end of the process
 * @param maximumLeaseMilliseconds maximum duration of a lease
 * @param stopTimeoutMilliseconds maximum time that a host takes to stop a run
 * @param maintenanceMilliseconds time that a machine is down for maintenance
 * @param configurationApplyMilliseconds time within which a version of the configuration has to be in force
 * @param configurationStretchMilliseconds how much longer that time is at most while the store is disturbed
 * @param remoteFactor factor by which a task runs longer on a host away from its data (a ratio)
 * @param entitlementWindowMilliseconds time over which the platform counts the jobs that an account is entitled to
 */
public record PlatformSettings(
        String nodeName,
        String zone,
        String ip,
        SocketAddress frontendAddress,
        SocketAddress readyAddress,
        int internalPort,
        String storeAddress,
        String machineServiceAddress,
        double machineOrdersPerSecond,
        String advisorAddress,
        double cpuShare,
        long graceMilliseconds,
        long maximumLeaseMilliseconds,
        long stopTimeoutMilliseconds,
        long maintenanceMilliseconds,
        long configurationApplyMilliseconds,
        long configurationStretchMilliseconds,
        double remoteFactor,
        long entitlementWindowMilliseconds) {
    /** Environment variable that holds the path of the settings file. */
    public static final String PATH_VARIABLE = "CICADALEAD_SETTINGS";

    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double DEFAULT_MACHINE_ORDERS_PER_SECOND = 64;

    /** Reads a settings file; throws with kind {@code INVALID_SETTINGS} and a message that names the invalid key. */
    public static PlatformSettings read(Path file) {
        SettingValues values = new SettingValues(file, parseLines(file));
        return new PlatformSettings(
                values.requiredText("nodeName"),
                values.requiredText("zone"),
                values.requiredText("ip"),
                values.parseAddress("listenAddrs.frontend"),
                values.parseAddress("listenAddrs.ready"),
                values.parseFirstPortOfRange("internalPortRange"),
                values.requiredText("platform.address"),
                values.requiredText("cloudApi.address"),
                values.parseNumber("cloudApi.dutyPerS", DEFAULT_MACHINE_ORDERS_PER_SECOND),
                values.optionalText("advisor", ""),
                values.parseNumber("limits.cpuShare", 1),
                Math.round(values.parseNumber("bounds.graceS", 6) * MILLISECONDS_PER_SECOND),
                Math.round(values.parseNumber("bounds.holdMaxMs", 6_000)),
                Math.round(values.parseNumber("bounds.stopTimeoutMs", 1_000)),
                Math.round(values.parseNumber("bounds.maintenanceS", 2) * MILLISECONDS_PER_SECOND),
                Math.round(values.parseNumber("bounds.configApplyMs", 2_000)),
                Math.round(values.parseNumber("bounds.maxStretchMs", 5_000)),
                values.parseNumber("bounds.remoteFactor", 1),
                Math.round(values.parseNumber("bounds.quotaWindowS", 1) * MILLISECONDS_PER_SECOND));
    }

    private static Map<String, String> parseLines(Path file) {
        Map<String, String> values = new HashMap<>();
        try {
            for (String line : Files.readAllLines(file)) {
                int separator = line.indexOf('=');
                if (separator > 0) {
                    values.put(
                            line.substring(0, separator).strip(),
                            line.substring(separator + 1).strip());
                }
            }
        } catch (IOException unreadable) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS, "The settings file " + file + " cannot be read", unreadable);
        }
        return values;
    }

    /**
     * An address to listen on. Immutable.
     *
     * @param ip the IP address
     * @param port the TCP port
     */
    public record SocketAddress(String ip, int port) {}

    private record SettingValues(Path file, Map<String, String> values) {
        String requiredText(String key) {
            String value = values.get(key);
            if (value == null || value.isEmpty()) {
                throw createException(key, "is missing");
            }
            return value;
        }

        String optionalText(String key, String defaultValue) {
            return values.getOrDefault(key, defaultValue);
        }

        double parseNumber(String key, double defaultValue) {
            String value = values.getOrDefault(key, "");
            try {
                return value.isEmpty() ? defaultValue : Double.parseDouble(value);
            } catch (NumberFormatException notANumber) {
                throw createException(key, "is not a number: '" + value + "'");
            }
        }

        SocketAddress parseAddress(String key) {
            String value = requiredText(key);
            int colon = value.lastIndexOf(':');
            try {
                return new SocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
            } catch (IndexOutOfBoundsException | NumberFormatException malformed) {
                throw createException(key, "is not an address with a port: '" + value + "'");
            }
        }

        int parseFirstPortOfRange(String key) {
            String value = requiredText(key);
            try {
                return Integer.parseInt(value.split(",", -1)[0].strip());
            } catch (NumberFormatException malformed) {
                throw createException(key, "is not a range of ports: '" + value + "'");
            }
        }

        private CicadaleadException createException(String key, String problem) {
            return new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS, "The setting '" + key + "' in " + file + " " + problem);
        }
    }
}
