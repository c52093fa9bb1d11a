package org.cicadalead.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import javax.crypto.spec.SecretKeySpec;
import org.cicadalead.adapters.security.SharedKeys;

/**
 * The handshake of one connection: a challenge in each direction, then from the dialing side a proof of identity, and
 * only when that holds a proof from the accepting side. A dialer without a right key learns nothing but a random
 * number. Keys of the session depend on both challenges, so that nothing recorded earlier can be used again. For use by
 * one thread at a time.
 */
final class PeerHandshake {
    /** Version of the protocol; both ends must have the same. */
    static final int PROTOCOL_VERSION = 1;

    /** Bytes of a challenge. */
    static final int NONCE_BYTES = 16;

    private static final String DIALER_PROOF = "cicadalead-peer-proof-dialer";
    private static final String ACCEPTOR_PROOF = "cicadalead-peer-proof-acceptor";
    private static final String DIALER_SESSION = "cicadalead-peer-session-dialer";
    private static final String ACCEPTOR_SESSION = "cicadalead-peer-session-acceptor";

    private final boolean dialer;
    private final PeerIdentity self;
    private final SharedKeys keys;
    private final byte[] ownNonce;
    private Optional<byte[]> otherNonce = Optional.empty();

    PeerHandshake(boolean dialer, PeerIdentity self, SharedKeys keys, byte[] ownNonce) {
        this.dialer = dialer;
        this.self = self;
        this.keys = keys;
        this.ownNonce = ownNonce;
    }

    /** Returns the challenge of this end. */
    PeerMessage challenge() {
        return new PeerMessage.Challenge(PROTOCOL_VERSION, ownNonce);
    }

    /** Takes the next message of the other end. */
    Step next(PeerMessage message) {
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
        return new Step(Optional.of(dialer ? proof(keys.keys()) : challenge()), Optional.empty());
    }

    private Step onProof(PeerMessage.Proof proof) {
        if (keys.isEmpty()) {
            if (!proof.codes().isEmpty()) {
                throw new AuthenticationException();
            }
            return established(proof.identity(), Optional.empty());
        }
        for (SecretKeySpec key : keys.keys()) {
            byte[] expected = code(key, !dialer, proof.identity());
            for (byte[] shown : proof.codes()) {
                if (MessageDigest.isEqual(expected, shown)) {
                    return established(proof.identity(), Optional.of(key));
                }
            }
        }
        throw new AuthenticationException();
    }

    private Step established(PeerIdentity peer, Optional<SecretKeySpec> key) {
        Optional<SecretKeySpec> fromDialer = key.map(shared -> sessionKey(shared, DIALER_SESSION));
        Optional<SecretKeySpec> fromAcceptor = key.map(shared -> sessionKey(shared, ACCEPTOR_SESSION));
        Session session = new Session(
                peer,
                key,
                new FrameSealer(dialer ? fromDialer : fromAcceptor),
                new FrameSealer(dialer ? fromAcceptor : fromDialer));
        Optional<PeerMessage> reply =
                dialer ? Optional.empty() : Optional.of(proof(key.stream().toList()));
        return new Step(reply, Optional.of(session));
    }

    private PeerMessage proof(List<SecretKeySpec> shown) {
        List<byte[]> codes = new ArrayList<>();
        for (SecretKeySpec key : shown) {
            codes.add(code(key, dialer, self));
        }
        return new PeerMessage.Proof(self, codes);
    }

    private byte[] code(SecretKeySpec key, boolean ofDialer, PeerIdentity identity) {
        return SharedKeys.computeMac(
                key,
                ofDialer ? DIALER_PROOF : ACCEPTOR_PROOF,
                dialerNonce(),
                acceptorNonce(),
                bytes(identity.process().value()),
                bytes(identity.zone().value()),
                bytes(identity.address().toString()));
    }

    private SecretKeySpec sessionKey(SecretKeySpec shared, String purpose) {
        return SharedKeys.deriveKey(shared, purpose, dialerNonce(), acceptorNonce());
    }

    private byte[] dialerNonce() {
        return dialer ? ownNonce : otherNonce.orElseThrow();
    }

    private byte[] acceptorNonce() {
        return dialer ? otherNonce.orElseThrow() : ownNonce;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * What to do after a message.
     *
     * @param reply message to send
     * @param session the session, once the other end has proven itself
     */
    record Step(Optional<PeerMessage> reply, Optional<Session> session) {}

    /**
     * An established session.
     *
     * @param peer the other end
     * @param key the shared key that it proved
     * @param sending seals frames to the other end
     * @param receiving opens frames of the other end
     */
    record Session(PeerIdentity peer, Optional<SecretKeySpec> key, FrameSealer sending, FrameSealer receiving) {}

    /** The other end did not prove a key. */
    static final class AuthenticationException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        AuthenticationException() {
            super("The other end did not prove a shared key");
        }
    }
}
