package org.cicadalead.proof;

/** A step of a generated history. The two numbers choose its target, its amount and the ticks that follow it. */
record ProofStep(Kind kind, int first, int second) {
    /** The event that happens in the step; up to ten ticks follow it. */
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
