package org.cicadalead.bench.membership;

/**
 * What heartbeats and news cost at one number of members. Rates are per member and second. Immutable.
 *
 * @param members number of members
 * @param zones number of availability zones
 * @param partBytes bytes that each member adds to every heartbeat
 * @param seconds how long it was measured
 * @param sentBytes bytes sent, as handed to the sockets
 * @param receivedBytes bytes received
 * @param largestBytes bytes sent and received by the member with the most
 * @param frames frames sent and received
 * @param wireBytes bytes sent and received with TCP/IP headers and acknowledgements, estimated from the frames
 * @param corePercent processor time of one core, in percent
 * @param connections connections of a member
 * @param reachablePeers peers that a member hears of in time, on average
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
