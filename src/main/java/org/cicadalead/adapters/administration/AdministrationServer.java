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

/** Serves the administration port over HTTP; other components add their routes to it. Thread-safe. */
public final class AdministrationServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** Paths that the platform's load balancer requests without a key. */
    private static final Set<String> UNAUTHENTICATED_PATHS = Set.of("/healthz", "/readyz");

    private final ExecutorService executor = HttpServers.createDaemonExecutor("administration");
    private final HttpServer server;
    private final OperatorAuthenticator authenticator;

    /** Binds the server without starting it; {@link #start} must follow after all routes are added. */
    public AdministrationServer(EntrySettings settings, OperatorAuthenticator authenticator) {
        this.authenticator = authenticator;
        server = HttpServers.bind(
                settings.administrationAddress().address(),
                settings.administrationAddress().port());
        server.setExecutor(executor);
        server.createContext("/", JsonExchange.withErrorResponses(exchange -> {
            throw new CicadaleadException(
                    ErrorKind.UNKNOWN_RESOURCE, "There is nothing at " + exchange.getRequestURI());
        }));
    }

    /** Adds a route that accepts one HTTP method. */
    public void addRoute(String method, String path, HttpHandler handler) {
        server.createContext(path, JsonExchange.withErrorResponses(exchange -> {
            requireMethod(exchange, method);
            requireAuthorization(exchange);
            handler.handle(exchange);
        }));
    }

    /** Starts to accept requests. */
    public void start() {
        server.start();
    }

    /** Returns the address that operators connect to. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    /** Reads the body, which the signature covers, and then passes it to the handler from memory. */
    private void requireAuthorization(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().toString();
        if (!authenticator.requiresSignature()
                || UNAUTHENTICATED_PATHS.contains(exchange.getRequestURI().getPath())) {
            return;
        }
        byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
        if (body.length > MAX_BODY_BYTES) {
            throw new CicadaleadException(ErrorKind.BODY_TOO_LARGE, "At most " + MAX_BODY_BYTES + " bytes");
        }
        Optional<String> authorization =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst("Authorization"));
        if (!authenticator.authenticate(exchange.getRequestMethod(), path, authorization, body)) {
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
