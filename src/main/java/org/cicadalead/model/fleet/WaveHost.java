package org.cicadalead.model.fleet;

import org.cicadalead.model.identity.ProcessIdentifier;
import org.pcollections.TreePMap;

/**
 * State of a host in a maintenance wave. Immutable.
 *
 * @param progress progress of the wave with this host
 * @param grantVersion offset of its grant; 0 before the grant
 * @param awaited members that must still confirm the drain, with the version of their membership
 */
public record WaveHost(WaveHostProgress progress, long grantVersion, TreePMap<ProcessIdentifier, Long> awaited) {
    /** Returns a host that has not been granted yet. */
    public static WaveHost waiting() {
        return new WaveHost(WaveHostProgress.WAITING, 0, TreePMap.empty());
    }

    /** Returns a copy with other progress that awaits no confirmation. */
    public WaveHost withProgress(WaveHostProgress newProgress) {
        return new WaveHost(newProgress, grantVersion, TreePMap.empty());
    }

    /** Returns a copy that no longer awaits the confirmation of a process. */
    public WaveHost withConfirmationBy(ProcessIdentifier process) {
        return new WaveHost(progress, grantVersion, awaited.minus(process));
    }
}
