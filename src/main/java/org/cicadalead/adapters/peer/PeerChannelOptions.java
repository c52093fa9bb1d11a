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
 * Options of a peer channel. Immutable.
 *
 * @param process this process
 * @param zone its availability zone
 * @param bindAddress address at which it accepts connections
 * @param seeds addresses of entry processes to contact first
 * @param members supplies the members in the shared state
 * @param appliedOffset supplies the offset of the shared state
 * @param keys supplies the keys that are currently valid
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
