package org.cicadalead.proof;

/** One step of a generated history. */
record ProofStep(Kind kind, int first, int second) {
    /** What happens; each is followed by up to ten ticks. */
    enum Kind {
        SUBMIT,
        FAIL_RACK,
        REPAIR_HOSTS,
        ANNOUNCE_LEAVING,
        CUT_ZONE,
        RESTORE_CONNECTIONS,
        PLATFORM_DOWN,
        PAUSE,
        RESUME,
        KILL,
        STOP,
        START,
        LOSE_REPLIES,
        PUBLISH,
        START_WAVE,
        MOVE
    }
}
