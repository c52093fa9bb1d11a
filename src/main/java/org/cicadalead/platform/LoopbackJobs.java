package org.cicadalead.platform;

/** What callers send to a queue of the loopback platform. Stateless. */
public final class LoopbackJobs {
    /** Host name of the queues. */
    public static final String AUTHORITY = "jobs.example";

    /** Path of the queue that needs a key if there are accounts; followed by the identifier of a job. */
    public static final String QUEUE_PATH = "/plan/";

    /** Header with the time for which a caller waits, in milliseconds. */
    public static final String TIMEOUT_HEADER = "X-Deadline-Ms";

    private static final int TASK_MILLICORES = 500;

    private LoopbackJobs() {}

    /** Returns the body that submits a job of one step whose tasks run for a time. */
    public static String createBody(int taskCount, long runMilliseconds) {
        return "{\"spec\":\"" + LoopbackWorker.payload(runMilliseconds) + "\",\"jobSteps\":[{\"count\":" + taskCount
                + ",\"cpu\":" + TASK_MILLICORES + ",\"estimatedMs\":" + runMilliseconds + "}]}";
    }
}
