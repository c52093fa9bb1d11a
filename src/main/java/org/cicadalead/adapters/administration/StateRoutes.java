package org.cicadalead.adapters.administration;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.replica.CommandAppender;
import org.cicadalead.logic.capacity.BudgetLedger;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.state.ConfigurationState.VersionedUnit;
import org.cicadalead.model.state.SharedState;

/** Serves the shared state and accepts configuration publications on the administration port. Thread-safe. */
public final class StateRoutes {
    private final Supplier<SharedState> state;
    private final CommandAppender appender;

    /** Creates routes that read the shared state of a replica and submit publications to an appender. */
    public StateRoutes(Supplier<SharedState> state, CommandAppender appender) {
        this.state = state;
        this.appender = appender;
    }

    /** Adds the routes to a server. */
    public void addTo(AdministrationServer server) {
        server.addRoute("GET", "/pools", this::sendPools);
        server.addRoute("GET", "/hosts", this::sendHosts);
        server.addRoute("GET", "/configuration/files", this::sendFiles);
        server.addRoute("POST", "/configuration", this::publish);
    }

    private void sendPools(HttpExchange exchange) throws IOException {
        SharedState currentState = state.get();
        List<PoolView> views = new ArrayList<>();
        for (PoolDefinition pool : currentState.configuration().merged().pools().values()) {
            long hostCount = currentState.hosts().values().stream()
                    .filter(host -> host.pool().equals(pool.name()))
                    .count();
            List<BudgetView> budgets = currentState.configuration().merged().services().values().stream()
                    .filter(service -> service.pool().equals(pool.name()))
                    .map(service -> createBudgetView(currentState, service))
                    .toList();
            int available = BudgetLedger.availableHosts(currentState, pool.name());
            views.add(new PoolView(pool.name(), pool.spare(), hostCount, available, budgets));
        }
        JsonExchange.respond(exchange, views);
    }

    private static BudgetView createBudgetView(SharedState state, ServiceDefinition service) {
        return new BudgetView(
                service.name(), service.budget().minimumAvailable(), BudgetLedger.isBudgetMet(state, service));
    }

    private void sendHosts(HttpExchange exchange) throws IOException {
        List<HostState> hosts = List.copyOf(state.get().hosts().values());
        JsonExchange.respond(exchange, hosts);
    }

    private void sendFiles(HttpExchange exchange) throws IOException {
        SortedMap<String, FileView> files = new TreeMap<>();
        for (VersionedUnit versioned : state.get().configuration().units().values()) {
            files.put(
                    versioned.unit().fileName(),
                    new FileView(versioned.version(), versioned.unit().textDigest()));
        }
        JsonExchange.respond(exchange, files);
    }

    private void publish(HttpExchange exchange) throws IOException {
        ConfigurationCommand.Publish publication = JsonExchange.readBody(exchange, ConfigurationCommand.Publish.class);
        JsonExchange.respond(exchange, appender.submitAndWait(publication));
    }

    /**
     * A pool as operators see it, written to the response as JSON.
     *
     * @param name the pool
     * @param spare whether its hosts are in reserve for other pools
     * @param hosts number of hosts that belong to the pool
     * @param available number of hosts that can accept new work
     * @param budgets availability budgets of the services in the pool
     */
    public record PoolView(PoolName name, boolean spare, long hosts, int available, List<BudgetView> budgets) {
        /** Copies the list. */
        public PoolView {
            budgets = List.copyOf(budgets);
        }
    }

    /**
     * The availability budget of a service as operators see it, written to the response as JSON.
     *
     * @param service the service
     * @param minimumAvailable minimum number of available hosts
     * @param holds whether the budget is met now
     */
    public record BudgetView(ServiceName service, int minimumAvailable, boolean holds) {}

    /**
     * A published configuration file, written to the response as JSON.
     *
     * @param version offset of the record that published the file
     * @param textDigest SHA-256 digest of the text of the file, in hexadecimal
     */
    public record FileView(long version, String textDigest) {}
}
