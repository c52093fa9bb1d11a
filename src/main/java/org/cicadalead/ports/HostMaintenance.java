package org.cicadalead.ports;

import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.identity.HostName;

/** Reboots of hosts by the platform. Implementations are safe for use by several threads. */
public interface HostMaintenance {
    /**
     * Asks for a reboot. Idempotent: an operation number that is not higher than an earlier one changes nothing, so
     * that several processes may ask for the same reboot.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE}
     */
    void reboot(HostName host, long operation);

    /**
     * Returns how far the newest reboot of a host is.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE}
     */
    HostCondition condition(HostName host);
}
