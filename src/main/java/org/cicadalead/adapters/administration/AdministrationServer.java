package org.cicadalead.adapters.administration;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.settings.EntrySettings;

/** The HTTP server of the administration port, to which parts add their routes. Safe for use by several threads. */
public final class AdministrationServer implements AutoCloseable {
    private final ExecutorService threads = HttpServers.daemonThreads("administration");
    private final HttpServer server;

    /** Binds the server; {@link #start} starts it once all routes are added. */
    public AdministrationServer(EntrySettings settings) {
        server = HttpServers.bind(
                settings.administrationAddress().address(),
                settings.administrationAddress().port());
        server.setExecutor(threads);
        server.createContext("/", JsonExchange.guarded(exchange -> {
            throw new CicadaleadException(
                    ErrorKind.UNKNOWN_RESOURCE, "There is nothing at " + exchange.getRequestURI());
        }));
    }

    /** Adds a route for one method. */
    public void route(String method, String path, HttpHandler handler) {
        server.createContext(path, JsonExchange.guarded(exchange -> {
            requireMethod(exchange, method);
            handler.handle(exchange);
        }));
    }

    /** Starts answering. */
    public void start() {
        server.start();
    }

    /** Returns where operators reach it. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private static void requireMethod(HttpExchange exchange, String method) throws IOException {
        if (!exchange.getRequestMethod().equals(method)) {
            throw new CicadaleadException(ErrorKind.METHOD_NOT_ALLOWED, "Use " + method);
        }
    }
}
