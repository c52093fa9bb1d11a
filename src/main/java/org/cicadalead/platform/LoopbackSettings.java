package org.cicadalead.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The settings of an entry process on the loopback interface. Immutable.
 *
 * @param name name of the process
 * @param ip its address
 * @param frontendPort port for callers
 * @param readyPort port at which it reports whether it is ready
 * @param internalPort port for other processes
 * @param storeAddress address of the store
 * @param machineServiceAddress address of the machine interface
 * @param revision distinguishes settings that are otherwise the same; starts at 1
 */
public record LoopbackSettings(
        String name,
        String ip,
        int frontendPort,
        int readyPort,
        int internalPort,
        String storeAddress,
        String machineServiceAddress,
        int revision) {
    /** Time between the signal to stop and the forced end of a process, in seconds. */
    public static final int GRACE_SECONDS = 6;

    /** Environment variable that holds the path of the settings file. */
    public static final String PATH_VARIABLE = PlatformSettings.PATH_VARIABLE;

    /** Writes the file that a process reads at its start. */
    public void write(Path file) throws IOException {
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "nodeName=" + name,
                        "zone=zone",
                        "ip=" + ip,
                        "listenAddrs.frontend=" + ip + ":" + frontendPort,
                        "listenAddrs.ready=" + ip + ":" + readyPort,
                        "internalPortRange=" + internalPort + ",65000",
                        "platform.address=" + storeAddress,
                        "cloudApi.address=" + machineServiceAddress,
                        "cloudApi.dutyPerS=" + (MACHINE_ORDERS_PER_SECOND + revision),
                        "limits.cpuShare=0.75",
                        "bounds.graceS=" + GRACE_SECONDS,
                        "bounds.holdMaxMs=" + LoopbackWorker.MAX_LEASE_MILLISECONDS,
                        "bounds.stopTimeoutMs=200",
                        "something.new=ignored",
                        ""));
    }

    private static final int MACHINE_ORDERS_PER_SECOND = 63;
}
