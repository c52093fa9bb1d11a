package org.cicadalead.adapters.administration;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.logic.state.ConfigurationProgress;
import org.cicadalead.logic.state.ConfigurationProgress.ProcessObservation;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerChannel;

/** Serves the progress of a published configuration on the administration port. Thread-safe. */
public final class ConfigurationRoutes {
    private final ProcessIdentifier self;
    private final Supplier<SharedState> state;
    private final Supplier<Optional<PeerChannel>> peers;

    /** Creates routes that read this process's replica and the reports of the other processes. */
    public ConfigurationRoutes(
            ProcessIdentifier self, Supplier<SharedState> state, Supplier<Optional<PeerChannel>> peers) {
        this.self = self;
        this.state = state;
        this.peers = peers;
    }

    /** Adds the routes to a server. */
    public void addTo(AdministrationServer server) {
        server.addRoute("GET", "/configuration/progress", this::sendProgress);
    }

    private void sendProgress(HttpExchange exchange) throws IOException {
        SharedState currentState = state.get();
        long version = JsonExchange.queryParameter(exchange, "version")
                .map(ConfigurationRoutes::parseVersion)
                .orElse(currentState.configuration().version());
        JsonExchange.respond(
                exchange, ConfigurationProgress.of(currentState, version, collectObservations(currentState)));
    }

    private Map<ProcessIdentifier, ProcessObservation> collectObservations(SharedState currentState) {
        Map<ProcessIdentifier, ProcessObservation> observations = new HashMap<>();
        peers.get().ifPresent(channel -> channel.peers()
                .forEach(peer -> observations.put(
                        peer.process(), new ProcessObservation(peer.appliedOffset(), peer.reachable()))));
        observations.put(self, new ProcessObservation(currentState.offset(), true));
        return observations;
    }

    private static long parseVersion(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "'version' must be a whole number", malformed);
        }
    }
}
