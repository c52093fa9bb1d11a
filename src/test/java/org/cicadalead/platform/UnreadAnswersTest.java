package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a caller that takes no answers and thereby holds up the threads that serve all others. */
class UnreadAnswersTest {
    private static final String AUTHORITY = "jobs.example";
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** Answers that fill the buffers of a connection whose caller takes none. */
    private static final int UNREAD_ANSWERS = 60_000;

    private static final long OBSERVED_SECONDS = 15;

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

    private int queryCount(String address) throws IOException, InterruptedException {
        return loopback.sendRequest("GET", address, AUTHORITY, "/plan/", "").statusCode();
    }

    @Test
    void answersOtherCallersWhileOneTakesNoAnswer() throws IOException, InterruptedException {
        String address = loopback.startEntry("one");
        while (queryCount(address) != PlatformHttpClient.OK) {
            Thread.onSpinWait();
        }
        byte[] request = ("GET /plan/ HTTP/1.1\r\nHost: " + AUTHORITY + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            int colon = address.indexOf(':');
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            Thread sender = new Thread(() -> sendWithoutReading(socket, request), "sender");
            sender.start();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(OBSERVED_SECONDS);
            while (System.nanoTime() < end) {
                assertEquals(PlatformHttpClient.OK, queryCount(address));
            }
        }
    }

    private static void sendWithoutReading(Socket socket, byte[] request) {
        try {
            for (int sent = 0; sent < UNREAD_ANSWERS; sent++) {
                socket.getOutputStream().write(request);
            }
        } catch (IOException closed) {
            // The test has closed the connection.
        }
    }
}
