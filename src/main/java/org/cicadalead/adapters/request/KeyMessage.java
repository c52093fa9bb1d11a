package org.cicadalead.adapters.request;

import java.util.Optional;
import org.cicadalead.logic.request.KeyVerdict;

/** What entry processes say to each other about idempotency keys, on the topic {@code KEYED_REQUEST}. */
final class KeyMessage {
    private KeyMessage() {}

    /** What a process asks another one. */
    enum Verb {
        /** Asks the home for the run. */
        CLAIM,
        /** Asks an earlier home what it knows. */
        LOOK_UP,
        /** Tells the home how a run ended. */
        END
    }

    /**
     * A question. Immutable.
     *
     * @param verb what is asked
     * @param key service and key
     * @param digest of the request
     * @param claim number of the claim; each process counts its own
     * @param members digest of the members that the asker goes by
     * @param verdict how the run ended; meaningful for {@code END}
     * @param answer the answer to keep
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
     * An answer. Immutable.
     *
     * @param verdict what is known
     * @param answer the kept answer
     */
    record KeyReply(KeyVerdict verdict, Optional<StoredResponse> answer) {}
}
