package org.cicadalead.bench.membership;

/**
 * The cost of heartbeats and peer news with one number of members. Rates are per member and second. Immutable.
 *
 * @param members number of members
 * @param zones number of availability zones
 * @param partBytes bytes that each member adds to every heartbeat
 * @param seconds duration of the measurement
 * @param sentBytes bytes sent, as written to the sockets
 * @param receivedBytes bytes received
 * @param largestBytes bytes sent and received by the member with the most traffic
 * @param frames frames sent and received
 * @param wireBytes bytes sent and received with TCP/IP headers and acknowledgements, estimated from the frames
 * @param corePercent processor time in percent of one core
 * @param connections connections of a member, on average
 * @param reachablePeers peers that a member considers reachable, on average
 */
public record MembershipBenchResult(
        int members,
        int zones,
        int partBytes,
        double seconds,
        double sentBytes,
        double receivedBytes,
        double largestBytes,
        double frames,
        double wireBytes,
        double corePercent,
        double connections,
        double reachablePeers) {}
