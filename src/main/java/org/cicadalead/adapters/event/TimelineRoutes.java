package org.cicadalead.adapters.event;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Serves the timeline of this process on the administration port. Immutable and thread-safe. */
public final class TimelineRoutes {
    private final TimelineRecorder recorder;

    /** Creates a route that reads the events from a recorder. */
    public TimelineRoutes(TimelineRecorder recorder) {
        this.recorder = recorder;
    }

    /** Adds the route to a server. */
    public void addTo(AdministrationServer server) {
        server.addRoute("GET", "/timeline", this::sendTimeline);
    }

    private void sendTimeline(HttpExchange exchange) throws IOException {
        long fromSequence = JsonExchange.queryParameter(exchange, "from")
                .map(TimelineRoutes::parseSequence)
                .orElse(1L);
        JsonExchange.respond(exchange, recorder.streamFrom(fromSequence));
    }

    private static long parseSequence(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "'from' must be a whole number", malformed);
        }
    }
}
