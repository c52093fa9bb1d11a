package org.cicadalead.model.command;

import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/** Commands that change which entry processes may place work. Implementations are immutable. */
public sealed interface MembershipCommand extends Command {
    /**
     * Adds a process to the membership, before it serves requests.
     *
     * @param process the process
     * @param zone its availability zone
     * @param peerAddress address at which other entry processes reach it
     * @param sponsor the member that vouched for it while the platform was down
     */
    record Join(
            ProcessIdentifier process, ZoneName zone, NetworkAddress peerAddress, Optional<ProcessIdentifier> sponsor)
            implements MembershipCommand {}

    /**
     * Removes a process that has permanently stopped placing work.
     *
     * @param process the process
     * @param memberVersion version of the membership that the writer had read
     */
    record Leave(ProcessIdentifier process, long memberVersion) implements MembershipCommand {}
}
