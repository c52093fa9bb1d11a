package org.cicadalead.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import javax.crypto.spec.SecretKeySpec;
import org.cicadalead.adapters.security.SharedKeys;

/**
 * The handshake of one connection: a challenge in each direction, then a proof of identity from the dialing side, and
 * only if that is valid a proof from the accepting side. A dialer without a valid key receives only a random number.
 * The session keys depend on both challenges, so that recorded frames cannot be replayed. For use by one thread at a
 * time.
 */
final class PeerHandshake {
    /** Version of the protocol; both ends must use the same version. */
    static final int PROTOCOL_VERSION = 1;

    /** Length of a challenge in bytes. */
    static final int NONCE_BYTES = 16;

    private static final String DIALER_PROOF = "cicadalead-peer-proof-dialer";
    private static final String ACCEPTOR_PROOF = "cicadalead-peer-proof-acceptor";
    private static final String DIALER_SESSION = "cicadalead-peer-session-dialer";
    private static final String ACCEPTOR_SESSION = "cicadalead-peer-session-acceptor";

    private final boolean isDialer;
    private final PeerIdentity self;
    private final SharedKeys keys;
    private final byte[] ownNonce;
    private Optional<byte[]> otherNonce = Optional.empty();

    PeerHandshake(boolean dialer, PeerIdentity self, SharedKeys keys, byte[] ownNonce) {
        this.isDialer = dialer;
        this.self = self;
        this.keys = keys;
        this.ownNonce = ownNonce;
    }

    /** Creates the challenge of this end. */
    PeerMessage createChallenge() {
        return new PeerMessage.Challenge(PROTOCOL_VERSION, ownNonce);
    }

    /** Handles the next message of the other end; throws if it is not expected or its proof is not valid. */
    Step onMessage(PeerMessage message) {
        if (otherNonce.isEmpty() && message instanceof PeerMessage.Challenge challenge) {
            return onChallenge(challenge);
        }
        if (otherNonce.isPresent() && message instanceof PeerMessage.Proof proof) {
            return onProof(proof);
        }
        throw new MalformedFrameException("not expected in the handshake");
    }

    private Step onChallenge(PeerMessage.Challenge challenge) {
        if (challenge.protocolVersion() != PROTOCOL_VERSION) {
            throw new MalformedFrameException("protocol version " + challenge.protocolVersion());
        }
        if (challenge.nonce().length != NONCE_BYTES) {
            throw new MalformedFrameException("challenge of a wrong length");
        }
        otherNonce = Optional.of(challenge.nonce());
        return new Step(Optional.of(isDialer ? createProof(keys.keys()) : createChallenge()), Optional.empty());
    }

    private Step onProof(PeerMessage.Proof proof) {
        if (keys.isEmpty()) {
            if (!proof.codes().isEmpty()) {
                throw new AuthenticationException();
            }
            return establishSession(proof.identity(), Optional.empty());
        }
        for (SecretKeySpec key : keys.keys()) {
            byte[] expected = computeCode(key, !isDialer, proof.identity());
            for (byte[] code : proof.codes()) {
                if (MessageDigest.isEqual(expected, code)) {
                    return establishSession(proof.identity(), Optional.of(key));
                }
            }
        }
        throw new AuthenticationException();
    }

    private Step establishSession(PeerIdentity peer, Optional<SecretKeySpec> key) {
        Optional<SecretKeySpec> dialerSessionKey = key.map(shared -> deriveSessionKey(shared, DIALER_SESSION));
        Optional<SecretKeySpec> acceptorSessionKey = key.map(shared -> deriveSessionKey(shared, ACCEPTOR_SESSION));
        Session session = new Session(
                peer,
                key,
                new FrameSealer(isDialer ? dialerSessionKey : acceptorSessionKey),
                new FrameSealer(isDialer ? acceptorSessionKey : dialerSessionKey));
        Optional<PeerMessage> reply = isDialer
                ? Optional.empty()
                : Optional.of(createProof(key.stream().toList()));
        return new Step(reply, Optional.of(session));
    }

    private PeerMessage createProof(List<SecretKeySpec> provenKeys) {
        List<byte[]> codes = new ArrayList<>();
        for (SecretKeySpec key : provenKeys) {
            codes.add(computeCode(key, isDialer, self));
        }
        return new PeerMessage.Proof(self, codes);
    }

    private byte[] computeCode(SecretKeySpec key, boolean isDialerProof, PeerIdentity identity) {
        return SharedKeys.computeMac(
                key,
                isDialerProof ? DIALER_PROOF : ACCEPTOR_PROOF,
                dialerNonce(),
                acceptorNonce(),
                bytes(identity.process().value()),
                bytes(identity.zone().value()),
                bytes(identity.address().toString()));
    }

    private SecretKeySpec deriveSessionKey(SecretKeySpec shared, String purpose) {
        return SharedKeys.deriveKey(shared, purpose, dialerNonce(), acceptorNonce());
    }

    private byte[] dialerNonce() {
        return isDialer ? ownNonce : otherNonce.orElseThrow();
    }

    private byte[] acceptorNonce() {
        return isDialer ? otherNonce.orElseThrow() : ownNonce;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * The result of handling a message.
     *
     * @param reply message to send, if any
     * @param session the session, once the other end has proven its identity
     */
    record Step(Optional<PeerMessage> reply, Optional<Session> session) {}

    /**
     * An established session.
     *
     * @param peer identity of the other end
     * @param key the shared key that the other end proved to hold; empty without keys
     * @param sending seals frames to the other end
     * @param receiving verifies frames of the other end
     */
    record Session(PeerIdentity peer, Optional<SecretKeySpec> key, FrameSealer sending, FrameSealer receiving) {}

    /** Thrown when the other end did not prove that it holds a shared key. */
    static final class AuthenticationException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        AuthenticationException() {
            super("The other end did not prove a shared key");
        }
    }
}
