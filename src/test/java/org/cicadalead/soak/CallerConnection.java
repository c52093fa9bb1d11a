package org.cicadalead.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.cicadalead.platform.LoopbackJobs;

/** A caller's HTTP/1.1 connection to a process, used for one request after the other. For use by one thread. */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int REQUEST_TIMEOUT_MILLISECONDS = 3_000;

    /** Time after which a caller that got no answer ends the connection itself. */
    private static final int ANSWER_TIMEOUT_MILLISECONDS = 4_500;

    private static final int MIN_STATUS_LINE = 12;

    private final Socket socket;
    private final InputStream input;

    /** How a request ended. */
    enum Ending {
        /** The answer is complete. */
        ANSWERED,
        /** The request could not be sent whole. */
        NOT_SENT,
        /** The connection ended before the answer was complete. */
        CUT,
        /** The connection was still open when the caller gave up. */
        TIMED_OUT
    }

    /**
     * The end of a request.
     *
     * @param ending how it ended
     * @param status the status code; 0 if there is none
     * @param body the body of the answer
     * @param isLast whether the caller leaves the connection
     * @param sentAt monotonic time at which the last byte was sent
     * @param endedAt monotonic time at which the request ended
     */
    record Answer(Ending ending, int status, String body, boolean isLast, long sentAt, long endedAt) {}

    CallerConnection(String ip, int port) throws IOException {
        this.socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MILLISECONDS);
            this.input = new BufferedInputStream(socket.getInputStream());
        } catch (IOException refused) {
            socket.close();
            throw refused;
        }
    }

    /** Waits for a time between two requests; returns whether the connection is still open after it. */
    boolean isOpenAfter(int milliseconds) {
        try {
            socket.setSoTimeout(Math.max(1, milliseconds));
            input.read();
            return false;
        } catch (SocketTimeoutException stillOpen) {
            return true;
        } catch (IOException ended) {
            return false;
        }
    }

    Answer send(String method, String path, String body) {
        byte[] encodedBody = body.getBytes(StandardCharsets.UTF_8);
        String request = method + " " + path + " HTTP/1.1\r\nHost: " + LoopbackJobs.AUTHORITY + "\r\n"
                + LoopbackJobs.TIMEOUT_HEADER + ": " + REQUEST_TIMEOUT_MILLISECONDS
                + "\r\nContent-Type: application/json\r\nContent-Length: " + encodedBody.length + "\r\n\r\n" + body;
        long sentAt;
        try {
            socket.setSoTimeout(ANSWER_TIMEOUT_MILLISECONDS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            sentAt = System.nanoTime();
        } catch (IOException ended) {
            long now = System.nanoTime();
            return new Answer(Ending.NOT_SENT, 0, "", true, now, now);
        }
        try {
            return readAnswer(sentAt);
        } catch (SocketTimeoutException noAnswer) {
            return new Answer(Ending.TIMED_OUT, 0, "", true, sentAt, System.nanoTime());
        } catch (IOException ended) {
            return new Answer(Ending.CUT, 0, "", true, sentAt, System.nanoTime());
        }
    }

    private Answer readAnswer(long sentAt) throws IOException {
        String statusLine = readLine();
        if (statusLine.length() < MIN_STATUS_LINE) {
            throw new IOException("malformed status line: " + statusLine);
        }
        int length = 0;
        boolean isLast = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String header = line.toLowerCase(Locale.ROOT);
            length = header.startsWith("content-length:")
                    ? Integer.parseInt(header.substring(header.indexOf(':') + 1).strip())
                    : length;
            isLast |= header.startsWith("connection:") && header.contains("close");
        }
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body is incomplete");
        }
        int status = Integer.parseInt(statusLine.substring(statusLine.indexOf(' ') + 1, MIN_STATUS_LINE));
        return new Answer(
                Ending.ANSWERED, status, new String(body, StandardCharsets.UTF_8), isLast, sentAt, System.nanoTime());
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection has ended");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException alreadyEnded) {
            // Nothing more can be sent or received either way.
        }
    }
}
