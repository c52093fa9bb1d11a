package org.cicadalead.model.state;

import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * A member of the cluster: an entry process that may place work. Immutable.
 *
 * @param process the process
 * @param version offset of the record by which it joined
 * @param zone its availability zone
 * @param peerAddress address at which other entry processes reach it
 * @param sponsor the member that vouched for it, if it joined while the platform was down
 */
public record Member(
        ProcessIdentifier process,
        long version,
        ZoneName zone,
        NetworkAddress peerAddress,
        Optional<ProcessIdentifier> sponsor) {}
