package org.cicadalead.adapters.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.PeerTopic;

/** What travels in one frame. Implementations are immutable; their byte arrays are not to be changed. */
sealed interface PeerMessage {
    /**
     * First frame in each direction.
     *
     * @param protocolVersion version of the protocol
     * @param nonce random bytes, used once
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Challenge(int protocolVersion, byte[] nonce) implements PeerMessage {}

    /**
     * Second frame in each direction: who the sender is, proven by each key that it holds.
     *
     * @param identity the sender
     * @param codes one authentication code for each key; none when the sender has no keys
     */
    record Proof(PeerIdentity identity, List<byte[]> codes) implements PeerMessage {}

    /**
     * A heartbeat.
     *
     * @param sequence number of the heartbeat of its sender
     * @param appliedOffset offset of the sender's shared state
     * @param parts what the sender's parts contribute
     * @param zones availability zones that the sender reaches; empty when they stand in another heartbeat
     * @param news what the sender knows of others
     */
    record Heartbeat(
            long sequence,
            long appliedOffset,
            Map<PeerTopic, byte[]> parts,
            Optional<List<ZoneName>> zones,
            List<PeerNews> news)
            implements PeerMessage {}

    /**
     * What the sender of a heartbeat knows of another process.
     *
     * @param memberVersion the version of its membership, by which the receiver knows it; 0 when it is not a member yet
     * @param identity who it is; present only when it is not a member yet
     * @param sequence number of its newest heartbeat that was heard of
     * @param appliedOffset offset of its shared state
     * @param ageMilliseconds how long ago the heartbeat was heard
     */
    record PeerNews(
            long memberVersion,
            Optional<PeerIdentity> identity,
            long sequence,
            long appliedOffset,
            long ageMilliseconds) {}

    /**
     * A call.
     *
     * @param correlation identifier of the call on its connection
     * @param topic what it is about
     * @param payload its content
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Call(long correlation, PeerTopic topic, byte[] payload) implements PeerMessage {}

    /**
     * The answer to a call.
     *
     * @param correlation identifier of the call
     * @param payload its content
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Reply(long correlation, byte[] payload) implements PeerMessage {}

    /**
     * A call that failed.
     *
     * @param correlation identifier of the call
     * @param notRun whether the call had no effect
     * @param detail what happened
     */
    record Failure(long correlation, boolean notRun, String detail) implements PeerMessage {}
}
