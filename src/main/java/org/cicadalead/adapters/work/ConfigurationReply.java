package org.cicadalead.adapters.work;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.FleetPlan;

/**
 * What a peer knows of the configuration. Immutable.
 *
 * @param plan its configuration; empty if it isn't newer than the one that the sender of the request has
 * @param version version of its configuration; -1 if it has none
 * @param ageMilliseconds time since its configuration was confirmed to be the newest one
 * @param peers addresses of other processes that have sent requests to it lately
 */
record ConfigurationReply(Optional<FleetPlan> plan, long version, long ageMilliseconds, List<String> peers) {
    ConfigurationReply {
        peers = List.copyOf(peers);
    }
}
