package org.cicadalead.adapters.peer;

/** Thrown for a frame that violates the protocol; its connection is then closed. Used only inside this package. */
final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
