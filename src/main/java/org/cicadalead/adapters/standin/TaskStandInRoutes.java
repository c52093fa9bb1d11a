package org.cicadalead.adapters.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.List;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.platform.HttpTaskPlatform;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.ports.TaskPlatform.TaskStart;

/** Serves the tasks of a {@link TaskStandIn} over HTTP. Immutable and safe for use by several threads. */
final class TaskStandInRoutes {
    private static final int MAX_TASKS = 1_000;
    private static final int ACCEPTED = 202;
    private static final int NO_BODY = -1;
    private static final int TASK_PATH_PARTS = 2;
    private static final int TASK_CALL_PATH_PARTS = 3;

    private final TaskStandIn tasks;

    private TaskStandInRoutes(TaskStandIn tasks) {
        this.tasks = tasks;
    }

    static void registerWith(HttpServer server, TaskStandIn tasks) {
        TaskStandInRoutes routes = new TaskStandInRoutes(tasks);
        server.createContext(HttpTaskPlatform.TASKS_PATH, JsonExchange.withErrorResponses(routes::handle));
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            dispatch(exchange);
        } catch (CicadaleadException failure) {
            if (failure.kind() != ErrorKind.OUTCOME_UNKNOWN) {
                throw failure;
            }
            exchange.close();
        }
    }

    private void dispatch(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath().substring(HttpTaskPlatform.TASKS_PATH.length());
        List<String> pathParts =
                path.isEmpty() ? List.of() : List.of(path.substring(1).split("/", -1));
        String method = exchange.getRequestMethod();
        if (pathParts.isEmpty() && method.equals("GET")) {
            JsonExchange.respond(exchange, tasks.listChanges(readNumber(exchange, "after"), MAX_TASKS));
            return;
        }
        if (pathParts.isEmpty() && method.equals("POST")) {
            tasks.start(JsonExchange.readBody(exchange, TaskStart.class));
        } else if (pathParts.size() == TASK_PATH_PARTS && method.equals("DELETE")) {
            tasks.removeTask(parseReference(pathParts));
        } else if (pathParts.size() == TASK_CALL_PATH_PARTS && method.equals("POST")) {
            callTask(exchange, parseReference(pathParts), pathParts.get(2));
        } else {
            throw new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "There is nothing at " + path);
        }
        // The server closes a connection if the request body, even an empty one, was not read before the response.
        JsonExchange.discardBody(exchange, 1);
        exchange.sendResponseHeaders(ACCEPTED, NO_BODY);
    }

    private void callTask(HttpExchange exchange, TaskReference task, String name) {
        switch (name) {
            case "stop" -> tasks.stop(task, isFlagSet(exchange, "checkpoint"));
            case "checkpoint" -> tasks.checkpoint(task);
            case "throttle" -> tasks.throttle(task, isFlagSet(exchange, "on"));
            default -> throw new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "A task takes no '" + name + "'");
        }
    }

    private static boolean isFlagSet(HttpExchange exchange, String parameter) {
        return JsonExchange.queryParameter(exchange, parameter)
                .filter("true"::equals)
                .isPresent();
    }

    private static TaskReference parseReference(List<String> pathParts) {
        return new TaskReference(new JobIdentifier(pathParts.get(0)), (int) parseNumber(pathParts.get(1)));
    }

    private static long readNumber(HttpExchange exchange, String name) {
        return JsonExchange.queryParameter(exchange, name)
                .map(TaskStandInRoutes::parseNumber)
                .orElse(0L);
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST, "'" + text + "' must be a whole number", malformed);
        }
    }
}
