package org.cicadalead.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * The settings that the platform hands to a process. Unknown fields are ignored. Immutable.
 *
 * @param nodeName name of this host
 * @param zone its availability zone
 * @param ip its address
 * @param frontendAddress where callers' connections arrive
 * @param readyAddress where the platform asks whether this process takes connections
 * @param internalPort first port for connections between processes
 * @param storeAddress address of the store
 * @param machineServiceAddress address of the calls on machines
 * @param advisorAddress address of the outside policy, empty where there is none
 * @param cpuShare share of a core
 * @param graceMilliseconds time between the signal to end and the end
 * @param maximumLeaseMilliseconds longest lease
 * @param stopTimeoutMilliseconds longest time that a host takes to stop a run
 * @param maintenanceMilliseconds time that a machine is down for maintenance
 * @param remoteFactor factor on the run time of a task away from its data
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
        String advisorAddress,
        double cpuShare,
        long graceMilliseconds,
        long maximumLeaseMilliseconds,
        long stopTimeoutMilliseconds,
        long maintenanceMilliseconds,
        double remoteFactor) {
    /** Environment variable that holds the path of the settings file. */
    public static final String PATH_VARIABLE = "CICADALEAD_SETTINGS";

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Reads a settings file; throws with kind {@code INVALID_SETTINGS} that names the key which is wrong. */
    public static PlatformSettings read(Path file) {
        SettingValues fields = new SettingValues(file, parseLines(file));
        return new PlatformSettings(
                fields.requiredText("nodeName"),
                fields.requiredText("zone"),
                fields.requiredText("ip"),
                fields.address("listenAddrs.frontend"),
                fields.address("listenAddrs.ready"),
                fields.firstPortOfRange("internalPortRange"),
                fields.requiredText("platform.address"),
                fields.requiredText("cloudApi.address"),
                fields.optionalText("advisor", ""),
                fields.number("limits.cpuShare", 1),
                Math.round(fields.number("bounds.graceS", 6) * MILLISECONDS_PER_SECOND),
                Math.round(fields.number("bounds.holdMaxMs", 6_000)),
                Math.round(fields.number("bounds.stopTimeoutMs", 1_000)),
                Math.round(fields.number("bounds.maintenanceS", 2) * MILLISECONDS_PER_SECOND),
                fields.number("bounds.remoteFactor", 1));
    }

    private static Map<String, String> parseLines(Path file) {
        Map<String, String> values = new HashMap<>();
        try {
            for (String line : Files.readAllLines(file)) {
                int equals = line.indexOf('=');
                if (equals > 0) {
                    values.put(
                            line.substring(0, equals).strip(),
                            line.substring(equals + 1).strip());
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
     * @param ip the address
     * @param port the port
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

        String optionalText(String key, String fallback) {
            return values.getOrDefault(key, fallback);
        }

        double number(String key, double fallback) {
            String value = values.getOrDefault(key, "");
            try {
                return value.isEmpty() ? fallback : Double.parseDouble(value);
            } catch (NumberFormatException notANumber) {
                throw createException(key, "is not a number: '" + value + "'");
            }
        }

        SocketAddress address(String key) {
            String value = requiredText(key);
            int colon = value.lastIndexOf(':');
            try {
                return new SocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
            } catch (IndexOutOfBoundsException | NumberFormatException malformed) {
                throw createException(key, "is not an address with a port: '" + value + "'");
            }
        }

        int firstPortOfRange(String key) {
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
