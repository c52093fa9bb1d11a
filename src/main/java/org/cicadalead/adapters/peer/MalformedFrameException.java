package org.cicadalead.adapters.peer;

/** A frame that breaks the protocol; its connection is closed. Never leaves this package. */
final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
