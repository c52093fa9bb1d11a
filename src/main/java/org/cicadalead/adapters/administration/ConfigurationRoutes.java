package org.cicadalead.adapters.administration;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.logic.state.ConfigurationProgress;
import org.cicadalead.logic.state.ConfigurationProgress.Sighting;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerChannel;

/** Routes that show how far a publication has come. Safe for use by several threads. */
public final class ConfigurationRoutes {
    private final ProcessIdentifier self;
    private final Supplier<SharedState> state;
    private final Supplier<Optional<PeerChannel>> peers;

    /** Creates routes on a replica and the channel to the other processes. */
    public ConfigurationRoutes(
            ProcessIdentifier self, Supplier<SharedState> state, Supplier<Optional<PeerChannel>> peers) {
        this.self = self;
        this.state = state;
        this.peers = peers;
    }

    /** Adds the routes. */
    public void addTo(AdministrationServer server) {
        server.route("GET", "/configuration/progress", this::progress);
    }

    private void progress(HttpExchange exchange) throws IOException {
        SharedState current = state.get();
        long version = JsonExchange.queryParameter(exchange, "version")
                .map(ConfigurationRoutes::number)
                .orElse(current.configuration().version());
        JsonExchange.respond(exchange, ConfigurationProgress.of(current, version, sightings(current)));
    }

    private Map<ProcessIdentifier, Sighting> sightings(SharedState current) {
        Map<ProcessIdentifier, Sighting> sightings = new HashMap<>();
        peers.get().ifPresent(channel -> channel.peers()
                .forEach(peer -> sightings.put(peer.process(), new Sighting(peer.appliedOffset(), peer.reachable()))));
        sightings.put(self, new Sighting(current.offset(), true));
        return sightings;
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "'version' must be a whole number", malformed);
        }
    }
}
