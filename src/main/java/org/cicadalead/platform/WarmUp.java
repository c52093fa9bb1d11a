package org.cicadalead.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;

/**
 * Runs two entry processes against a platform on the loopback interface until each has accepted a job and both jobs
 * have ended. The Java virtual machine then has loaded the classes that an entry process needs, as its leader and as a
 * follower, and can archive them. Stateless.
 */
public final class WarmUp {
    private static final String AUTHORITY = "jobs.example";
    private static final String QUEUE_PATH = "/plan/";
    private static final String JOB_BODY =
            "{\"spec\":\"text\",\"jobSteps\":[{\"count\":3,\"cpu\":500,\"estimatedMs\":60},"
                    + "{\"count\":2,\"cpu\":500,\"estimatedMs\":60,\"dependsOn\":[0]}]}";
    private static final Duration POLL_INTERVAL = Duration.ofMillis(30);
    private static final int WORKERS = 2;

    private WarmUp() {}

    /**
     * Runs the processes and stops them gracefully.
     *
     * @param folder an existing folder for the settings of the processes
     * @param timeout maximum duration of each job
     * @return whether both jobs have ended in time
     */
    public static boolean run(Path folder, Duration timeout) throws IOException, InterruptedException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        try (LoopbackPlatform platform = new LoopbackPlatform(folder, WORKERS)) {
            boolean leaderCompletesJob = completesJob(platform, platform.startEntry("leader"), "1", timeout);
            boolean followerCompletesJob = completesJob(platform, platform.startEntry("follower"), "2", timeout);
            return leaderCompletesJob && followerCompletesJob;
        }
    }

    private static boolean completesJob(LoopbackPlatform platform, String address, String job, Duration timeout)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        boolean isAccepted = false;
        while (System.nanoTime() < deadline) {
            if (!isAccepted) {
                isAccepted = call(platform, "POST", address, job, JOB_BODY).statusCode() == PlatformHttpClient.OK;
            } else if (call(platform, "GET", address, job, "").body().contains("completed")) {
                call(platform, "GET", address, "", "");
                call(platform, "DELETE", address, job, "");
                return true;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        return false;
    }

    private static HttpResponse<String> call(
            LoopbackPlatform platform, String method, String address, String job, String body)
            throws IOException, InterruptedException {
        return platform.sendRequest(method, address, AUTHORITY, QUEUE_PATH + job, body);
    }
}
