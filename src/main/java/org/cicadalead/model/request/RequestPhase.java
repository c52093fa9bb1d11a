package org.cicadalead.model.request;

/** Where a request is on its way. */
public enum RequestPhase {
    /** Its terms were read and found valid. */
    ADMITTED,
    /** It waits for a slot. */
    QUEUED,
    /** It holds a slot of an upstream; no byte has been sent. */
    CHOSEN,
    /** A byte may have reached the upstream. */
    SENT,
    /** Its caller has got the final answer. */
    ANSWERED;

    /** Tells whether a request in this phase may enter another one. */
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
