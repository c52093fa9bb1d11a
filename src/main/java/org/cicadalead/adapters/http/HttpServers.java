package org.cicadalead.adapters.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Configures the JDK's HTTP client and creates its HTTP servers. Stateless and thread-safe. */
public final class HttpServers {
    private static final int BACKLOG = 1_024;
    private static final String CLIENT_KEEP_ALIVE_SECONDS = "5";
    private static final String REQUEST_TIMEOUT_SECONDS = "60";
    private static final String MAX_IDLE_CONNECTIONS = "10000";
    private static final String MAX_DRAINED_BYTES = "0";

    /** Limit of what is discarded of a body that is too long: several times what callers send by mistake. */
    private static final int MAX_DISCARDED_BYTES = 1 << 24;

    private static final int DISCARD_BUFFER_BYTES = 1 << 13;

    /** Minimum with which the JDK completes responses on the common pool; with less it starts a thread for each. */
    private static final String COMMON_POOL_THREADS = "2";

    private HttpServers() {}

    /**
     * Sets the system properties that the JDK reads only once; call this before the first server or client is created.
     * The client must not retry a request on its own. The server closes connections whose request takes too long to
     * arrive and keeps as many idle connections as a load balancer opens. The server does not drain a body that nobody
     * reads, because draining could block on the sender. Responses of the client complete on the common pool also on a
     * host with one processor.
     */
    public static void configureProcess() {
        System.setProperty("java.util.concurrent.ForkJoinPool.common.parallelism", COMMON_POOL_THREADS);
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
        System.setProperty("jdk.httpclient.keepalive.timeout", CLIENT_KEEP_ALIVE_SECONDS);
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxReqTime", REQUEST_TIMEOUT_SECONDS);
        System.setProperty("sun.net.httpserver.maxIdleConnections", MAX_IDLE_CONNECTIONS);
        System.setProperty("sun.net.httpserver.drainAmount", MAX_DRAINED_BYTES);
    }

    /** Creates a server that is bound to an address; port 0 selects any free port. */
    public static HttpServer bind(String address, int port) {
        configureProcess();
        try {
            return HttpServer.create(new InetSocketAddress(address, port), BACKLOG);
        } catch (IOException failure) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS,
                    "The address " + address + ":" + port + " cannot be bound; is another process using it?",
                    failure);
        }
    }

    /** Reads the body of a request, at most one byte more than a limit, so that a longer one takes no more memory. */
    public static byte[] readBody(HttpExchange exchange, int maximumBytes) throws IOException {
        return exchange.getRequestBody().readNBytes(maximumBytes + 1);
    }

    /**
     * Reads and discards the rest of a request's body after its response was flushed. A connection that is closed while
     * its sender still writes is reset, which discards a response that the sender has not read yet. Returns at the end
     * of the body, at a limit, or when the connection ends.
     */
    public static void discardRestOfBody(HttpExchange exchange) throws IOException {
        InputStream stream = exchange.getRequestBody();
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        long remaining = MAX_DISCARDED_BYTES;
        int count = 0;
        while (remaining > 0 && count >= 0) {
            count = stream.read(buffer);
            remaining -= count;
        }
    }

    /** Returns the address that a server is bound to. */
    public static NetworkAddress addressOf(HttpServer server) {
        return new NetworkAddress(
                server.getAddress().getAddress().getHostAddress(),
                server.getAddress().getPort());
    }

    /** Creates an executor whose daemon threads are numbered after a common name. */
    public static ExecutorService createDaemonExecutor(String name) {
        AtomicInteger count = new AtomicInteger();
        return Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
    }
}
