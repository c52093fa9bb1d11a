package org.cicadalead.model.request;

/** Phase of a request in an entry process. */
public enum RequestPhase {
    /** The terms of the request were validated. */
    ADMITTED,
    /** The request waits for a slot. */
    QUEUED,
    /** The request holds a slot of an upstream; no byte has been sent. */
    CHOSEN,
    /** A byte may have reached the upstream. */
    SENT,
    /** The final response to the caller was begun. */
    ANSWERED;

    /** Returns whether a request in this phase may enter the given phase. */
    public boolean canTransitionTo(RequestPhase next) {
        return switch (this) {
            case ADMITTED -> next == QUEUED || next == CHOSEN || next == ANSWERED;
            case QUEUED -> next == CHOSEN || next == ANSWERED;
            case CHOSEN -> next == QUEUED || next == SENT || next == ANSWERED;
            case SENT -> next == QUEUED || next == ANSWERED;
            case ANSWERED -> false;
        };
    }
}
