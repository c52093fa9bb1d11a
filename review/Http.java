import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small helpers for HTTP servers with JSON bodies. Stateless. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int BACKLOG = 1_024;
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(runnable -> {
        Thread thread = new Thread(runnable, "standin");
        thread.setDaemon(true);
        return thread;
    });

    private Http() {}

    static HttpServer serve(String ip, int port, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), BACKLOG);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (RuntimeException failure) {
                failure.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static JsonNode read(byte[] body) {
        try {
            JsonNode node = JSON.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException notJson) {
            return MissingNode.getInstance();
        }
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        answer(exchange, status, JSON.writeValueAsBytes(body));
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : (raw == null ? "" : raw).split("&")) {
            int separator = part.indexOf('=');
            if (separator > 0) {
                values.put(
                        part.substring(0, separator),
                        URLDecoder.decode(part.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
