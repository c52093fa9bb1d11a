package org.cicadalead.model.fleet;

import org.cicadalead.model.identity.ProcessIdentifier;
import org.pcollections.TreePMap;

/**
 * A host within a maintenance wave. Immutable.
 *
 * @param progress how far the wave has come with it
 * @param grantVersion offset of its grant; 0 before
 * @param awaited members that must still confirm the drain, with the version of their membership
 */
public record WaveHost(WaveHostProgress progress, long grantVersion, TreePMap<ProcessIdentifier, Long> awaited) {
    /** Returns a host whose turn has not come. */
    public static WaveHost waiting() {
        return new WaveHost(WaveHostProgress.WAITING, 0, TreePMap.empty());
    }

    /** Returns this host at another point of the wave; nobody is awaited any more. */
    public WaveHost withProgress(WaveHostProgress newProgress) {
        return new WaveHost(newProgress, grantVersion, TreePMap.empty());
    }

    /** Returns this host without one awaited process. */
    public WaveHost withConfirmationBy(ProcessIdentifier process) {
        return new WaveHost(progress, grantVersion, awaited.minus(process));
    }
}
