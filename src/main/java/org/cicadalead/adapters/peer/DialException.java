package org.cicadalead.adapters.peer;

import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.cicadalead.logic.membership.PeerObservation;

/** A dial that failed, with what the failure shows of the process that was dialed. Never leaves this package. */
final class DialException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final String REFUSED = "refused";

    private final PeerObservation observation;

    private DialException(PeerObservation evidence, String message) {
        super(message);
        this.observation = evidence;
    }

    /** A refusal comes at once from the host itself; other failures say nothing of the process. */
    static DialException of(Throwable failure) {
        boolean refused = failure instanceof ConnectException
                && Optional.ofNullable(failure.getMessage()).orElse("").contains(REFUSED);
        return new DialException(refused ? PeerObservation.ENDED : PeerObservation.CUT_OFF, String.valueOf(failure));
    }

    /** No proof of identity came in time, with or without a connection. */
    static DialException ofTimeout(boolean connected) {
        return connected
                ? new DialException(PeerObservation.SILENT, "no handshake")
                : new DialException(PeerObservation.CUT_OFF, "no connection in time");
    }

    static PeerObservation observationOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof DialException known ? known.observation : PeerObservation.CUT_OFF;
    }
}
