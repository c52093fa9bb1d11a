package org.cicadalead.adapters.administration;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.security.OperatorAuthenticator;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.settings.EntrySettings;

/** The HTTP server of the administration port, to which parts add their routes. Safe for use by several threads. */
public final class AdministrationServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 32 * 1024 * 1024;

    /** What the platform's balancer asks, without a key. */
    private static final Set<String> OPEN_PATHS = Set.of("/healthz", "/readyz");

    private final ExecutorService threads = HttpServers.createDaemonExecutor("administration");
    private final HttpServer server;
    private final OperatorAuthenticator gate;

    /** Binds the server; {@link #start} starts it once all routes are added. */
    public AdministrationServer(EntrySettings settings, OperatorAuthenticator gate) {
        this.gate = gate;
        server = HttpServers.bind(
                settings.administrationAddress().address(),
                settings.administrationAddress().port());
        server.setExecutor(threads);
        server.createContext("/", JsonExchange.withErrorResponses(exchange -> {
            throw new CicadaleadException(
                    ErrorKind.UNKNOWN_RESOURCE, "There is nothing at " + exchange.getRequestURI());
        }));
    }

    /** Adds a route for one method. */
    public void route(String method, String path, HttpHandler handler) {
        server.createContext(path, JsonExchange.withErrorResponses(exchange -> {
            requireMethod(exchange, method);
            requireAdmission(exchange);
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

    /** A signature covers the body, so that the body is read here and given to the handler from memory. */
    private void requireAdmission(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().toString();
        if (!gate.requiresSignature()
                || OPEN_PATHS.contains(exchange.getRequestURI().getPath())) {
            return;
        }
        byte[] body = exchange.getRequestBody().readNBytes(MAXIMUM_BODY_BYTES + 1);
        if (body.length > MAXIMUM_BODY_BYTES) {
            throw new CicadaleadException(ErrorKind.BODY_TOO_LARGE, "At most " + MAXIMUM_BODY_BYTES + " bytes");
        }
        Optional<String> authorization =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst("Authorization"));
        if (!gate.authenticate(exchange.getRequestMethod(), path, authorization, body)) {
            throw new CicadaleadException(ErrorKind.UNAUTHORIZED, "Sign the request with a shared key");
        }
        exchange.setStreams(new ByteArrayInputStream(body), null);
    }

    private static void requireMethod(HttpExchange exchange, String method) throws IOException {
        if (!exchange.getRequestMethod().equals(method)) {
            throw new CicadaleadException(ErrorKind.METHOD_NOT_ALLOWED, "Use " + method);
        }
    }
}
