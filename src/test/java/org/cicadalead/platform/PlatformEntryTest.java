package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cicadalead.adapters.work.WorkCodec;
import org.cicadalead.logic.work.JobAdmission;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlatformEntryTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String JOB_BODY =
            "{\"spec\":\"text\",\"jobSteps\":[{\"count\":3,\"cpu\":500,\"estimatedMs\":60},"
                    + "{\"count\":2,\"cpu\":500,\"estimatedMs\":60,\"dependsOn\":[0]}]}";
    private static final String AUTHORITY = "jobs.example";

    @TempDir
    Path folder;

    private LoopbackPlatform loopback;

    @BeforeEach
    void start() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        loopback = new LoopbackPlatform(folder, 2);
    }

    @AfterEach
    void stop() {
        loopback.close();
    }

    private HttpResponse<String> call(String method, String address, String job, String body)
            throws IOException, InterruptedException {
        return loopback.sendRequest(method, address, AUTHORITY, "/plan/" + job, body);
    }

    private void awaitState(String address, String job, String state) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        String lastBody = "";
        while (System.nanoTime() < deadline) {
            lastBody = call("GET", address, job, "").body();
            if (lastBody.contains(state)) {
                return;
            }
            Thread.sleep(30);
        }
        assertTrue(lastBody.contains(state), "the last state was " + lastBody);
    }

    private void awaitAccepted(String address, String job) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        int status = 0;
        while (System.nanoTime() < deadline && status != PlatformHttpClient.OK) {
            status = call("POST", address, job, JOB_BODY).statusCode();
            Thread.sleep(status == PlatformHttpClient.OK ? 0 : 50);
        }
        assertEquals(PlatformHttpClient.OK, status);
    }

    private List<String> startsOf(String job) {
        return loopback.workers.stream()
                .flatMap(worker -> worker.starts().stream())
                .filter(task -> task.startsWith(job))
                .sorted()
                .toList();
    }

    @Test
    void runsEachTaskOnceWhenJobIsSubmittedTwice() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000a1");
        assertEquals(
                PlatformHttpClient.OK,
                call("POST", address, "00000000000000a1", JOB_BODY).statusCode());
        awaitState(address, "00000000000000a1", "completed");
        assertEquals(
                List.of("0.0.0", "0.0.1", "0.0.2", "0.1.0", "0.1.1").stream()
                        .map(task -> "00000000000000a1." + task)
                        .toList(),
                startsOf("00000000000000a1"));
    }

    @Test
    void secondProcessTakesOverWhenLeaderStops() throws IOException, InterruptedException {
        String firstAddress = loopback.startEntry("one");
        awaitAccepted(firstAddress, "00000000000000b1");
        awaitState(firstAddress, "00000000000000b1", "completed");
        String secondAddress = loopback.startEntry("two");
        awaitAccepted(secondAddress, "00000000000000b2");
        loopback.entry(0).stopGracefully();
        awaitState(secondAddress, "00000000000000b1", "completed");
        awaitState(secondAddress, "00000000000000b2", "completed");
        assertEquals(5, startsOf("00000000000000b1").size());
        assertEquals(5, startsOf("00000000000000b2").size());
    }

    /**
     * Guards against telling the caller of an accepted job that it was rejected, because its body is beyond a limit.
     */
    @Test
    void acceptsRepeatOfJobThatEarlierCodeAcceptedBeyondTheLimit() throws IOException, InterruptedException {
        StepSpecification step = new StepSpecification(
                10_000,
                500,
                100,
                0,
                60,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                Optional.empty(),
                0,
                false,
                0);
        String job = "00000000000000e1";
        WorkSubmission submission = new WorkSubmission(
                job,
                "plan",
                "service without hosts",
                new QueueTerms(0, 3, 1.6, 600, Optional.empty()),
                "text",
                Collections.nCopies(60, step),
                0,
                0,
                0,
                System.currentTimeMillis());
        byte[] stored = new WorkCodec(problem -> {}).encode(submission);
        new StoreClient(new PlatformHttpClient(HttpClient.newHttpClient()), loopback.storeAddress())
                .append(Topic.JOBS, List.of(KeyedRecord.of("s/" + job, stored)), OptionalLong.empty())
                .join();
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000e2");
        awaitState(address, job, "queued");
        String body = "{\"spec\":\"text\",\"jobSteps\":["
                + String.join(",", Collections.nCopies(60, "{\"count\":10000,\"cpu\":500}")) + "]}";
        assertEquals(PlatformHttpClient.OK, call("POST", address, job, body).statusCode());
        awaitState(address, "00000000000000e2", "completed");
    }

    /** Guards against accepting jobs that no process can hold. */
    @Test
    void rejectsJobsThatCanNeverFitWithTheirLimit() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000d1");
        String step = "{\"count\":10000,\"cpu\":500}";
        String steps = String.join(",", Collections.nCopies(60, step));
        HttpResponse<String> manyTasks =
                call("POST", address, "00000000000000d2", "{\"spec\":\"text\",\"jobSteps\":[" + steps + "]}");
        assertEquals(413, manyTasks.statusCode());
        assertTrue(manyTasks.body().contains("\"maximumJobBytes\":" + JobAdmission.MAX_JOB_BYTES), manyTasks.body());
        HttpResponse<String> wideStep = call(
                "POST",
                address,
                "00000000000000d3",
                "{\"spec\":\"text\",\"jobSteps\":[{\"count\":10001,\"cpu\":500}]}");
        assertEquals(413, wideStep.statusCode());
        assertTrue(wideStep.body().contains("\"maximumTasksPerStep\":10000"), wideStep.body());
        for (String count : List.of("0", "-1", "4294967297", "9007199254740992", "100000000000000000000")) {
            String body = "{\"spec\":\"text\",\"jobSteps\":[{\"count\":" + count + ",\"cpu\":500}]}";
            assertEquals(
                    PlatformHttpClient.BAD_REQUEST,
                    call("POST", address, "00000000000000d4", body).statusCode(),
                    count);
        }
        awaitState(address, "00000000000000d1", "completed");
    }

    @Test
    void rejectsJobsOnlyWhileStoreIsUnavailable() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000c1");
        loopback.store.setDown(true);
        HttpResponse<String> rejection = call("POST", address, "00000000000000c2", JOB_BODY);
        assertEquals(PlatformHttpClient.SERVICE_UNAVAILABLE, rejection.statusCode());
        assertEquals("1", rejection.headers().firstValue("Retry-After").orElse(""));
        loopback.store.setDown(false);
        awaitAccepted(address, "00000000000000c3");
        awaitState(address, "00000000000000c3", "completed");
        assertEquals(List.of(), startsOf("00000000000000c2"));
    }

    /** A body that is read into memory whole ends a process whose memory is smaller. */
    @Test
    void rejectsBodyBeyondLimitBeforeAllOfItHasArrived() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000e1");
        int colon = address.indexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            String head = "POST /plan/00000000000000e2 HTTP/1.1\r\nHost: " + AUTHORITY
                    + "\r\nContent-Length: 10000000000\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[1 << 20]);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 413 Request Entity Too Large", reader.readLine());
        }
        awaitAccepted(address, "00000000000000e3");
    }

    /** A connection that is reset while the caller still writes loses the response. */
    @Test
    void deliversRejectionOfBodyBeyondLimitToCallerThatStillWrites() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000f1");
        int colon = address.indexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            String head = "POST /plan/00000000000000f2 HTTP/1.1\r\nHost: " + AUTHORITY
                    + "\r\nContent-Length: 2000000\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[300_000]);
            long deadline = System.nanoTime() + TIMEOUT.toNanos();
            while (socket.getInputStream().available() == 0 && System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
            for (int part = 0; part < 17; part++) {
                socket.getOutputStream().write(new byte[100_000]);
            }
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 413 Request Entity Too Large", reader.readLine());
        }
    }

    @Test
    void respondsToRequestsForQueuesAndJobs() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000d1");
        awaitState(address, "00000000000000d1", "completed");
        assertEquals(
                404,
                loopback.sendRequest("POST", address, AUTHORITY, "/other/1", JOB_BODY)
                        .statusCode());
        assertEquals(
                PlatformHttpClient.GONE,
                call("GET", address, "00000000000000d9", "").statusCode());
        assertEquals(
                PlatformHttpClient.GONE,
                call("DELETE", address, "00000000000000d9", "").statusCode());
        assertEquals("{\"waitingCount\":0}", call("GET", address, "", "").body());
        assertEquals(
                PlatformHttpClient.BAD_REQUEST,
                call("POST", address, "00000000000000d2", "{").statusCode());
    }

    /** A process that stops waited for such requests until it was killed. */
    @Test
    void countsNoRequestAsInFlightWhoseCallerLeftWhileSendingIt() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        awaitAccepted(address, "00000000000000f1");
        int colon = address.indexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            String head =
                    "POST /plan/00000000000000f2 HTTP/1.1\r\nHost: " + AUTHORITY + "\r\nContent-Length: 1000\r\n\r\n{";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            awaitInFlightRequests(1);
        }
        awaitInFlightRequests(0);
    }

    private void awaitInFlightRequests(int count) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < deadline && loopback.entry(0).inFlightRequests() != count) {
            Thread.sleep(10);
        }
        assertEquals(count, loopback.entry(0).inFlightRequests());
    }
}
