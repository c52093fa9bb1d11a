package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that a stopping process has read and never answers, as on real hosts (incident 0009). */
class GracefulStopTest {
    private static final String AUTHORITY = "jobs.example";
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(6);

    /** Time after its last byte was sent within which a request whose connection ends counts as not read. */
    private static final Duration UNREAD = Duration.ofMillis(200);

    private static final Duration PAUSE_OF_CALLER = Duration.ofMillis(40);
    private static final int CALLERS = 4;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MIN_DRAIN = Duration.ofMillis(2_600);
    private static final Set<Integer> STATUSES = Set.of(200, 410, 503, 504);
    private static final String JOB_BODY =
            "{\"spec\":\"text\",\"jobSteps\":[{\"count\":1,\"cpu\":500,\"estimatedMs\":60}]}";

    @TempDir
    Path folder;

    private LoopbackPlatform loopback;
    private final List<String> unanswered = new CopyOnWriteArrayList<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final Set<Integer> statuses = ConcurrentHashMap.newKeySet();

    @BeforeEach
    void start() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        loopback = new LoopbackPlatform(folder, 2);
    }

    @AfterEach
    void stop() {
        loopback.close();
    }

    private String startLeader() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        int status = 0;
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (status != PlatformHttpClient.OK) {
            assertTrue(System.nanoTime() < deadline, "the process has not started");
            status = loopback.sendRequest("GET", address, AUTHORITY, "/plan/", "")
                    .statusCode();
        }
        return address;
    }

    /** Sends requests one after the other, on connections that are kept as long as the process keeps them. */
    private void callUntilProcessIsGone(String address, String method, String path) {
        int colon = address.indexOf(':');
        String body = method.equals("POST") ? JOB_BODY : "";
        byte[] request = (method + " " + path + " HTTP/1.1\r\nHost: " + AUTHORITY
                        + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
        boolean isListening = true;
        while (isListening) {
            try (Socket socket =
                    new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
                boolean isKept = true;
                while (isKept) {
                    socket.getOutputStream().write(request);
                    isKept = receiveAnswer(socket, method + " " + path);
                    Thread.sleep(PAUSE_OF_CALLER.toMillis());
                }
            } catch (IOException refusedOrNotSent) {
                isListening = false;
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Receives the head of an answer; returns whether its connection is kept. */
    private boolean receiveAnswer(Socket socket, String request) throws IOException {
        long sentAt = System.nanoTime();
        StringBuilder received = new StringBuilder();
        try {
            InputStream input = socket.getInputStream();
            byte[] buffer = new byte[1_024];
            while (!isComplete(received.toString())) {
                int count = input.read(buffer);
                if (count < 0) {
                    throw new SocketException("closed");
                }
                received.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
            }
            statuses.add(Integer.parseInt(received.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3)));
            answers.incrementAndGet();
            return !received.toString().contains("Connection: close");
        } catch (IOException ended) {
            long milliseconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            if (milliseconds > UNREAD.toMillis()) {
                unanswered.add(request + " after " + milliseconds + " ms");
            }
            return false;
        }
    }

    private static boolean isComplete(String received) {
        int endOfHead = received.indexOf("\r\n\r\n");
        if (endOfHead < 0) {
            return false;
        }
        int length = received.lines()
                .map(line -> line.toLowerCase(java.util.Locale.ROOT))
                .filter(line -> line.startsWith("content-length:"))
                .mapToInt(line ->
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()))
                .findFirst()
                .orElse(0);
        return received.length() >= endOfHead + 4 + length;
    }

    private Duration stopWhileCalled(String address, List<String> requests) throws InterruptedException {
        ExecutorService callers = Executors.newCachedThreadPool();
        for (int caller = 0; caller < CALLERS; caller++) {
            for (String request : requests) {
                String[] parts = request.split(" ", -1);
                callers.execute(() -> callUntilProcessIsGone(address, parts[0], parts[1]));
            }
        }
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (answers.get() < CALLERS) {
            assertTrue(System.nanoTime() < deadline, "the callers get no answers");
            Thread.sleep(PAUSE_OF_CALLER.toMillis());
        }
        long stoppedAt = System.nanoTime();
        loopback.entry(0).stopGracefully();
        Duration stopDuration = Duration.ofNanos(System.nanoTime() - stoppedAt);
        callers.shutdown();
        assertTrue(callers.awaitTermination(10, TimeUnit.SECONDS), "callers still use the process");
        return stopDuration;
    }

    @Test
    void answersQueriesThatWaitForALeaderWhenItsGracePeriodEnds() throws IOException, InterruptedException {
        String address = startLeader();
        Duration stopDuration = stopWhileCalled(
                address, List.of("GET /plan/", "GET /plan/00000000000000e1", "POST /plan/00000000000000e3"));
        assertAnsweredWithinGracePeriod(stopDuration);
    }

    @Test
    void staysWithinGracePeriodWhileStoreIsSilent() throws IOException, InterruptedException {
        String address = startLeader();
        loopback.setStoreAccess("one", LoopbackPlatform.StoreAccess.SILENT);
        List<String> requests = List.of("GET /plan/", "DELETE /plan/00000000000000e2", "POST /plan/00000000000000e4");
        Duration stopDuration = stopWhileCalled(address, requests);
        assertAnsweredWithinGracePeriod(stopDuration);
    }

    private void assertAnsweredWithinGracePeriod(Duration stopDuration) {
        assertEquals(List.of(), unanswered);
        assertTrue(STATUSES.containsAll(statuses), statuses::toString);
        assertTrue(stopDuration.compareTo(MIN_DRAIN) >= 0, "the stop took " + stopDuration);
        assertTrue(stopDuration.compareTo(GRACE_PERIOD) < 0, "the stop took " + stopDuration);
    }
}
