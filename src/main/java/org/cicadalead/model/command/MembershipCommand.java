package org.cicadalead.model.command;

import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/** Commands that change which entry processes may place work. Implementations are immutable. */
public sealed interface MembershipCommand extends Command {
    /**
     * A process joins before it serves.
     *
     * @param process the process
     * @param zone its availability zone
     * @param peerAddress where other entry processes reach it
     * @param sponsor the member that vouched for it while the platform was down
     */
    record Join(
            ProcessIdentifier process, ZoneName zone, NetworkAddress peerAddress, Optional<ProcessIdentifier> sponsor)
            implements MembershipCommand {}

    /**
     * A process has stopped placing work for good.
     *
     * @param process the process
     * @param memberVersion the version of the membership that was read
     */
    record Leave(ProcessIdentifier process, long memberVersion) implements MembershipCommand {}
}
