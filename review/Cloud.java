import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The interface for machines of a platform that checks no fencing tokens: lists machines and moves them between pools. A
 * machine that is switched off has no worker; no case switches one on again. Safe for use by several threads.
 */
final class Cloud {
    private static final int MIGRATION_MS = 1_500;

    /** A call for a machine, in the order in which the calls were carried out. */
    record Order(long at, String machine, String pool, String holder, long token, int status) {}

    private static final class Machine {
        String pool;
        Worker worker;
        long movesUntil;
    }

    private final Recorder recorder;
    private final String standbyPool;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    final List<Order> orders = Collections.synchronizedList(new ArrayList<>());

    Cloud(Recorder recorder, String standbyPool) {
        this.recorder = recorder;
        this.standbyPool = standbyPool;
    }

    synchronized void add(Worker worker, String pool) {
        Machine machine = new Machine();
        machine.pool = pool;
        machine.worker = worker;
        machines.put(worker.machine, machine);
    }

    void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Http.read(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/v1/machines")) {
            Http.answer(exchange, 200, list());
        } else if (path.equals("/v1/machine-move")) {
            String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
            long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
            ObjectNode answer = Http.JSON.createObjectNode();
            int status =
                    move(body.path("hostMachine").asText(), body.path("pool").asText(), holder, token, answer);
            Http.answer(exchange, status, answer);
        } else {
            Http.answer(exchange, 400, new byte[0]);
        }
    }

    private synchronized JsonNode list() {
        ObjectNode list = Http.JSON.createObjectNode();
        ArrayNode rows = list.putArray("machines");
        machines.forEach((name, machine) -> {
            boolean moving = System.currentTimeMillis() < machine.movesUntil;
            ObjectNode row = rows.addObject();
            row.put("hostMachine", name)
                    .put("pool", machine.pool)
                    .put("state", moving ? "moving" : "up")
                    .put("zone", "zone-a");
            row.putObject("capacity").put("cpu", 64000).put("memMb", 262144).put("gpu", 0);
            row.put("id", machine.worker == null ? "" : machine.worker.id);
        });
        list.putNull("nextToken");
        return list;
    }

    private synchronized int move(String name, String pool, String holder, long token, ObjectNode answer) {
        Machine machine = machines.get(name);
        int status = 200;
        if (machine == null) {
            status = 400;
        } else if (!machine.pool.equals(pool)) {
            if (System.currentTimeMillis() < machine.movesUntil) {
                answer.put("reason", "busy");
                status = 409;
            } else {
                machine.pool = pool;
                machine.movesUntil = System.currentTimeMillis() + MIGRATION_MS;
                if (machine.worker != null && pool.equals(standbyPool)) {
                    machine.worker.leave();
                    machine.worker = null;
                }
            }
        }
        orders.add(new Order(recorder.now(), name, pool, holder, token, status));
        recorder.line("order: move " + name + " to " + pool + ", holder " + holder + ", fencing token " + token
                + " -> " + status);
        return status;
    }
}
