package org.cicadalead.support;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cicadalead.model.configuration.NetworkAddress;

/**
 * An upstream on a plain socket that records the requests that it receives and responds as the test specifies, which
 * may be by breaking the connection. Thread-safe.
 */
public final class FakeUpstream implements AutoCloseable {
    private final ServerSocket server;
    private final Behavior behavior;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<String> requestHeads = new CopyOnWriteArrayList<>();

    public FakeUpstream(Behavior behavior) {
        this.behavior = behavior;
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
        threads.execute(this::accept);
    }

    /** Creates an upstream that responds to every request with status 200 and the given text. */
    public static FakeUpstream respondingWith(String text) {
        return new FakeUpstream((socket, number) -> {
            send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
            return true;
        });
    }

    public static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Closes the connection with a TCP reset. */
    public static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    public NetworkAddress address() {
        return new NetworkAddress("127.0.0.1", server.getLocalPort());
    }

    /** Returns the heads of the received requests, in order. */
    public List<String> requestHeads() {
        return requestHeads;
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
        threads.shutdownNow();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String head = readHead(input);
            boolean isOpen = !head.isEmpty();
            while (isOpen) {
                skipBody(head, input);
                requestHeads.add(head);
                isOpen = behavior.onRequest(socket, requestHeads.size());
                head = isOpen ? readHead(input) : "";
                isOpen = !head.isEmpty();
            }
        } catch (IOException | InterruptedException broken) {
            // The peer closed the connection, or the behavior broke it.
        }
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static void skipBody(String head, InputStream input) throws IOException {
        for (String line : head.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                input.skipNBytes(Long.parseLong(line.split(":", 2)[1].strip()));
            }
        }
    }

    /** Specifies how the upstream handles a request. */
    @FunctionalInterface
    public interface Behavior {
        /** Handles a request, numbered from 1; returns whether the connection stays open. */
        boolean onRequest(Socket socket, int number) throws IOException, InterruptedException;
    }
}
