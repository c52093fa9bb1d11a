package org.cicadalead.ports;

import java.util.List;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;

/**
 * The platform's list of live and leaving hosts, which lags behind. Implementations are safe for use by several
 * threads.
 */
public interface HostDirectory {
    /**
     * Returns the hosts that the platform lists; a host that is missing has failed or was removed.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE}
     */
    List<DirectoryEntry> list();

    /**
     * A listed host.
     *
     * @param host the host
     * @param health live or leaving
     */
    record DirectoryEntry(HostName host, HostHealth health) {}
}
