package org.cicadalead.adapters.peer;

import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * The identity of the process at one end of a connection. Immutable.
 *
 * @param process the process
 * @param zone its availability zone
 * @param address address at which it accepts connections of other entry processes
 */
public record PeerIdentity(ProcessIdentifier process, ZoneName zone, NetworkAddress address) {}
