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

/** Serves the tasks of a stand-in over HTTP. Immutable and safe for use by several threads. */
final class TaskStandInRoutes {
    private static final int MAXIMUM_TASKS = 1_000;
    private static final int ACCEPTED = 202;
    private static final int NO_BODY = -1;
    private static final int PARTS_OF_A_TASK = 2;
    private static final int PARTS_OF_A_CALL = 3;

    private final TaskStandIn tasks;

    private TaskStandInRoutes(TaskStandIn tasks) {
        this.tasks = tasks;
    }

    static void addTo(HttpServer server, TaskStandIn tasks) {
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
        List<String> parts =
                path.isEmpty() ? List.of() : List.of(path.substring(1).split("/", -1));
        String method = exchange.getRequestMethod();
        if (parts.isEmpty() && method.equals("GET")) {
            JsonExchange.respond(exchange, tasks.listChanges(number(exchange, "after"), MAXIMUM_TASKS));
            return;
        }
        if (parts.isEmpty() && method.equals("POST")) {
            tasks.start(JsonExchange.readBody(exchange, TaskStart.class));
        } else if (parts.size() == PARTS_OF_A_TASK && method.equals("DELETE")) {
            tasks.forget(reference(parts));
        } else if (parts.size() == PARTS_OF_A_CALL && method.equals("POST")) {
            call(exchange, reference(parts), parts.get(2));
        } else {
            throw new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "There is nothing at " + path);
        }
        // The server ends a connection whose last request, also an empty one, was not read when it is answered.
        JsonExchange.discardBody(exchange, 1);
        exchange.sendResponseHeaders(ACCEPTED, NO_BODY);
    }

    private void call(HttpExchange exchange, TaskReference task, String name) {
        switch (name) {
            case "stop" -> tasks.stop(task, isSet(exchange, "checkpoint"));
            case "checkpoint" -> tasks.checkpoint(task);
            case "throttle" -> tasks.throttle(task, isSet(exchange, "on"));
            default -> throw new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "A task takes no '" + name + "'");
        }
    }

    private static boolean isSet(HttpExchange exchange, String parameter) {
        return JsonExchange.queryParameter(exchange, parameter)
                .filter("true"::equals)
                .isPresent();
    }

    private static TaskReference reference(List<String> parts) {
        return new TaskReference(new JobIdentifier(parts.get(0)), (int) parseNumber(parts.get(1)));
    }

    private static long number(HttpExchange exchange, String name) {
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
