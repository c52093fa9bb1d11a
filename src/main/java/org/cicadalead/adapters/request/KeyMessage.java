package org.cicadalead.adapters.request;

import java.util.Optional;
import org.cicadalead.logic.request.KeyVerdict;

/** Messages about idempotency keys between entry processes, on the topic {@code KEYED_REQUEST}. */
final class KeyMessage {
    private KeyMessage() {}

    /** Action that a process requests from another one. */
    enum Verb {
        /** Claims the run from the home. */
        CLAIM,
        /** Asks an earlier home for the status of the key. */
        LOOK_UP,
        /** Reports to the home how a run ended. */
        END
    }

    /**
     * A request. Immutable.
     *
     * @param verb requested action
     * @param key service name and idempotency key
     * @param digest digest of the caller's request
     * @param claim number of the claim; each process counts its own
     * @param members digest of the members that the requesting process uses
     * @param verdict how the run ended; meaningful for {@code END}
     * @param answer response to store, if there is one
     */
    record KeyRequest(
            Verb verb,
            String key,
            String digest,
            long claim,
            String members,
            KeyVerdict verdict,
            Optional<StoredResponse> answer) {}

    /**
     * A reply. Immutable.
     *
     * @param verdict state of the key
     * @param answer stored response, if there is one
     */
    record KeyReply(KeyVerdict verdict, Optional<StoredResponse> answer) {}
}
