package org.cicadalead.adapters.job;

/** One step of a history: the kind of the step, and a number that selects the process, job or host. */
record JobSimulationStep(Kind kind, int number) {
    enum Kind {
        ADVANCE,
        RUN_PROCESS,
        READ_ONE_RECORD,
        READ_ALL_RECORDS,
        SUBMIT,
        SUBMIT_AGAIN,
        CANCEL,
        CANCEL_ALL,
        LOSE_LEASES,
        RETURN_LEASES,
        CRASH_HOST,
        FAIL_EVERYTHING,
        FAIL_NOTHING,
        HOST_DOWN,
        HOST_LEAVING,
        HOST_UP,
        LOSE_REPLY,
        IGNORE_STOPS,
        OBEY_STOPS,
        PAUSE_PROCESS,
        RESUME_PROCESS,
        REPLACE_PROCESS,
        LOG_DOWN,
        LOG_LOSES_REPLIES,
        LOG_UP,
        TASKS_DOWN,
        TASKS_UP
    }
}
