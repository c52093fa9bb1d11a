package org.cicadalead.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cicadalead.adapters.http.HttpServers;

/** Relays TCP connections to one address, and disturbs them on request. Safe for use by several threads. */
final class TcpProxy implements AutoCloseable {
    private static final int BACKLOG = 1_024;
    private static final int BUFFER_BYTES = 1 << 16;
    private static final long HOLD_POLL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final ExecutorService threads = HttpServers.createDaemonExecutor("proxy");
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.RELAYED;
    private volatile long delayNanoseconds;

    /** How bytes pass. */
    enum Mode {
        /** They pass both ways. */
        RELAYED(true, true),
        /** What the process sends is held up. */
        REQUESTS_HELD(false, true),
        /** What is sent to the process is held up. */
        ANSWERS_HELD(true, false),
        /** Both ways are held up. */
        SILENT(false, false);

        private final boolean passesRequests;
        private final boolean passesAnswers;

        Mode(boolean passesRequests, boolean passesAnswers) {
            this.passesRequests = passesRequests;
            this.passesAnswers = passesAnswers;
        }

        private boolean passes(boolean isRequest) {
            return isRequest ? passesRequests : passesAnswers;
        }
    }

    TcpProxy(String ip, InetSocketAddress target) throws IOException {
        this.server = new ServerSocket();
        this.target = target;
        server.bind(new InetSocketAddress(ip, 0), BACKLOG);
        threads.execute(this::acceptConnections);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Sets how much later everything arrives, in either direction. */
    void setDelay(long milliseconds) {
        delayNanoseconds = TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    /** Resets the open connections; new ones are relayed. */
    void resetConnections() {
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException alreadyEnded) {
                // There is nothing to reset.
            }
            closeQuietly(socket);
        }
    }

    private void acceptConnections() {
        try {
            while (!server.isClosed()) {
                Socket caller = server.accept();
                threads.execute(() -> connect(caller));
            }
        } catch (IOException closed) {
            // The proxy was closed.
        }
    }

    private void connect(Socket caller) {
        Socket relayed = new Socket();
        sockets.add(caller);
        sockets.add(relayed);
        try {
            caller.setTcpNoDelay(true);
            relayed.setTcpNoDelay(true);
            relayed.connect(target);
            threads.execute(() -> relay(caller, relayed, true));
            relay(relayed, caller, false);
        } catch (IOException refused) {
            close(caller, relayed);
        }
    }

    private void relay(Socket source, Socket sink, boolean isRequest) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = source.getInputStream();
            OutputStream output = sink.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                LockSupport.parkNanos(delayNanoseconds);
                while (!mode.passes(isRequest) && !sink.isClosed()) {
                    LockSupport.parkNanos(HOLD_POLL_NANOSECONDS);
                }
                output.write(buffer, 0, count);
            }
        } catch (IOException ended) {
            // Both connections end below.
        } finally {
            close(source, sink);
        }
    }

    private void close(Socket source, Socket sink) {
        sockets.remove(source);
        sockets.remove(sink);
        closeQuietly(source);
        closeQuietly(sink);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyEnded) {
            // Nothing more can be sent or received either way.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        resetConnections();
        threads.shutdownNow();
    }
}
