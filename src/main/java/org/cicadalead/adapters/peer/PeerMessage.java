package org.cicadalead.adapters.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.PeerTopic;

/** The content of one frame. Implementations are immutable; their byte arrays must not be changed. */
sealed interface PeerMessage {
    /**
     * The first frame in each direction.
     *
     * @param protocolVersion version of the protocol
     * @param nonce random bytes that are used only once
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Challenge(int protocolVersion, byte[] nonce) implements PeerMessage {}

    /**
     * The second frame in each direction: the identity of the sender, with a proof for each key that it holds.
     *
     * @param identity the sender
     * @param codes one authentication code for each key; empty if the sender has no keys
     */
    record Proof(PeerIdentity identity, List<byte[]> codes) implements PeerMessage {}

    /**
     * A heartbeat.
     *
     * @param sequence number of the heartbeat, counted by its sender
     * @param appliedOffset offset of the sender's shared state
     * @param parts content that components of the sender contribute, by topic
     * @param zones availability zones that the sender reaches; empty if this heartbeat does not list them
     * @param news what the sender knows about other processes
     */
    record Heartbeat(
            long sequence,
            long appliedOffset,
            Map<PeerTopic, byte[]> parts,
            Optional<List<ZoneName>> zones,
            List<PeerNews> news)
            implements PeerMessage {}

    /**
     * What the sender of a heartbeat knows about another process.
     *
     * @param memberVersion version of its membership, which identifies it to the receiver; 0 if it is not a member yet
     * @param identity its identity; present only if it is not a member yet
     * @param sequence number of its newest known heartbeat
     * @param appliedOffset offset of its shared state
     * @param ageMilliseconds time since that heartbeat was received
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
     * @param topic topic that selects the handler
     * @param payload its content
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Call(long correlation, PeerTopic topic, byte[] payload) implements PeerMessage {}

    /**
     * The reply to a successful call.
     *
     * @param correlation identifier of the call
     * @param payload its content
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Reply(long correlation, byte[] payload) implements PeerMessage {}

    /**
     * The reply to a failed call.
     *
     * @param correlation identifier of the call
     * @param notRun whether it is certain that the call had no effect
     * @param detail description of the failure
     */
    record Failure(long correlation, boolean notRun, String detail) implements PeerMessage {}
}
