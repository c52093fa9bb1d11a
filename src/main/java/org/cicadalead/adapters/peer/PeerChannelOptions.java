package org.cicadalead.adapters.peer;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.Member;

/**
 * What a peer channel is made from. Immutable.
 *
 * @param process this process
 * @param zone its availability zone
 * @param bindAddress where it accepts connections
 * @param seeds addresses of other entry processes, to begin with
 * @param members members of the shared state
 * @param appliedOffset offset of the shared state
 * @param keys keys that are valid now
 */
public record PeerChannelOptions(
        ProcessIdentifier process,
        ZoneName zone,
        BindAddress bindAddress,
        List<NetworkAddress> seeds,
        Supplier<Collection<Member>> members,
        LongSupplier appliedOffset,
        Supplier<SharedKeys> keys) {
    /** Copies the list. */
    public PeerChannelOptions {
        seeds = List.copyOf(seeds);
    }
}
