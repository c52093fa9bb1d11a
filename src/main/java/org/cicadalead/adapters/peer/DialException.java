package org.cicadalead.adapters.peer;

import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.cicadalead.logic.membership.PeerObservation;

/** A failed dial, with what the failure shows about the dialed process. Used only inside this package. */
final class DialException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final String REFUSED = "refused";

    private final PeerObservation observation;

    private DialException(PeerObservation observation, String message) {
        super(message);
        this.observation = observation;
    }

    /**
     * Creates an exception from a failure to connect. A refusal comes from the host itself and shows that the process
     * has ended; other failures show nothing about the process.
     */
    static DialException of(Throwable failure) {
        boolean isRefused = failure instanceof ConnectException
                && Optional.ofNullable(failure.getMessage()).orElse("").contains(REFUSED);
        return new DialException(isRefused ? PeerObservation.ENDED : PeerObservation.CUT_OFF, String.valueOf(failure));
    }

    /** Creates an exception for a dial that received no proof of identity in time, with or without a connection. */
    static DialException ofTimeout(boolean connected) {
        return connected
                ? new DialException(PeerObservation.SILENT, "no handshake")
                : new DialException(PeerObservation.CUT_OFF, "no connection in time");
    }

    static PeerObservation observationOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof DialException dialFailure ? dialFailure.observation : PeerObservation.CUT_OFF;
    }
}
