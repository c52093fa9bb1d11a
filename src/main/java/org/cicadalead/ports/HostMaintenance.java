package org.cicadalead.ports;

import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.identity.HostName;

/** Lets the platform reboot hosts. Implementations are safe for use by several threads. */
public interface HostMaintenance {
    /**
     * Requests a reboot. Idempotent: an operation number that is not higher than an earlier one has no effect, so that
     * several processes may request the same reboot.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE}
     */
    void reboot(HostName host, long operation);

    /**
     * Returns the condition of a host, which tells the progress of its latest reboot.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE}
     */
    HostCondition condition(HostName host);
}
