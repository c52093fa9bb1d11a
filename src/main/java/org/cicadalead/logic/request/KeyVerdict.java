package org.cicadalead.logic.request;

/** What the home process of an idempotency key says about a request that carries it. */
public enum KeyVerdict {
    /** The key is new; the asker runs the request. */
    GRANTED,
    /** The key is not known here. */
    NOT_KNOWN,
    /** A request with the key is being run. */
    IN_PROGRESS,
    /** The request ran and its answer is kept. */
    ANSWERED,
    /** The request ran and its answer is not kept. */
    ANSWERED_WITHOUT_COPY,
    /** The request may have run. */
    OUTCOME_UNKNOWN,
    /** The key was used for a different request. */
    REUSED,
    /** Asker and answerer go by different members. */
    OTHER_MEMBERS,
    /** Too many keys are remembered already. */
    FULL
}
