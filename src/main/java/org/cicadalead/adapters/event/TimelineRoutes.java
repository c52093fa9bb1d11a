package org.cicadalead.adapters.event;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** The route that shows the time line of this process. Immutable and safe for use by several threads. */
public final class TimelineRoutes {
    private final TimelineRecorder recorder;

    /** Creates the route on a recorder. */
    public TimelineRoutes(TimelineRecorder recorder) {
        this.recorder = recorder;
    }

    /** Adds the route. */
    public void addTo(AdministrationServer server) {
        server.route("GET", "/timeline", this::answer);
    }

    private void answer(HttpExchange exchange) throws IOException {
        long from = JsonExchange.queryParameter(exchange, "from")
                .map(TimelineRoutes::number)
                .orElse(1L);
        JsonExchange.respond(exchange, recorder.streamFrom(from));
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "'from' must be a whole number", malformed);
        }
    }
}
