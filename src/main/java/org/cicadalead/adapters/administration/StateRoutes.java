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

/** Routes that show the shared state and publish configuration. Safe for use by several threads. */
public final class StateRoutes {
    private final Supplier<SharedState> state;
    private final CommandAppender appender;

    /** Creates routes on a replica and an appender. */
    public StateRoutes(Supplier<SharedState> state, CommandAppender appender) {
        this.state = state;
        this.appender = appender;
    }

    /** Adds the routes. */
    public void addTo(AdministrationServer server) {
        server.route("GET", "/pools", this::pools);
        server.route("GET", "/hosts", this::hosts);
        server.route("GET", "/configuration/files", this::files);
        server.route("POST", "/configuration", this::publish);
    }

    private void pools(HttpExchange exchange) throws IOException {
        SharedState current = state.get();
        List<PoolView> views = new ArrayList<>();
        for (PoolDefinition pool : current.configuration().merged().pools().values()) {
            long members = current.hosts().values().stream()
                    .filter(host -> host.pool().equals(pool.name()))
                    .count();
            List<BudgetView> budgets = current.configuration().merged().services().values().stream()
                    .filter(service -> service.pool().equals(pool.name()))
                    .map(service -> budgetView(current, service))
                    .toList();
            int available = BudgetLedger.availableHosts(current, pool.name());
            views.add(new PoolView(pool.name(), pool.spare(), members, available, budgets));
        }
        JsonExchange.respond(exchange, views);
    }

    private static BudgetView budgetView(SharedState state, ServiceDefinition service) {
        return new BudgetView(
                service.name(), service.budget().minimumAvailable(), BudgetLedger.isBudgetMet(state, service));
    }

    private void hosts(HttpExchange exchange) throws IOException {
        List<HostState> hosts = List.copyOf(state.get().hosts().values());
        JsonExchange.respond(exchange, hosts);
    }

    private void files(HttpExchange exchange) throws IOException {
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
     * A pool as operators see it.
     *
     * @param name the pool
     * @param spare whether it stands by for others
     * @param hosts hosts that belong to it
     * @param available hosts that can take new work
     * @param budgets budgets of its services
     */
    public record PoolView(PoolName name, boolean spare, long hosts, int available, List<BudgetView> budgets) {
        /** Copies the list. */
        public PoolView {
            budgets = List.copyOf(budgets);
        }
    }

    /**
     * A service's budget as operators see it.
     *
     * @param service the service
     * @param minimumAvailable least available hosts
     * @param holds whether it holds now
     */
    public record BudgetView(ServiceName service, int minimumAvailable, boolean holds) {}

    /**
     * A published file.
     *
     * @param version offset that published it
     * @param textDigest hexadecimal SHA-256 of its text
     */
    public record FileView(long version, String textDigest) {}
}
