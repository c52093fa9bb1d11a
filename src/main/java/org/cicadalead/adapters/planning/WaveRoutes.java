package org.cicadalead.adapters.planning;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.replica.CommandAppender;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.logic.planning.Decision;
import org.cicadalead.logic.planning.MaintenancePlanner;
import org.cicadalead.logic.planning.PlanningInput;
import org.cicadalead.logic.planning.WavePreview;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/** HTTP routes for operators on maintenance waves and their previews. Safe for use by several threads. */
public final class WaveRoutes {
    private final Supplier<SharedState> state;
    private final CommandAppender appender;
    private final LongSupplier wallClockMilliseconds;

    /** Creates routes that read the state of a replica and append commands. */
    public WaveRoutes(Supplier<SharedState> state, CommandAppender appender, LongSupplier wallClockMilliseconds) {
        this.state = state;
        this.appender = appender;
        this.wallClockMilliseconds = wallClockMilliseconds;
    }

    /** Adds the routes to a server. */
    public void addTo(AdministrationServer server) {
        server.addRoute("GET", "/waves", exchange -> JsonExchange.respond(exchange, createViews()));
        server.addRoute("POST", "/waves/start", this::start);
        server.addRoute("POST", "/waves/change", this::change);
        server.addRoute("POST", "/plan", this::preview);
    }

    private List<WaveView> createViews() {
        SharedState current = state.get();
        List<Decision> decisions = MaintenancePlanner.plan(
                PlanningInput.ofState(current, CapacityPolicy.SHARED_SPARE, wallClockMilliseconds.getAsLong()));
        List<WaveView> views = new ArrayList<>();
        for (WaveState wave : current.waves().values()) {
            Optional<String> reason = decisions.stream()
                    .filter(decision -> decision.command().isEmpty())
                    .filter(decision ->
                            decision.cause().equals(Optional.of(wave.wave().value())))
                    .flatMap(decision -> decision.details().stream())
                    .filter(detail -> detail.name().equals("reason"))
                    .map(detail -> detail.value())
                    .findFirst();
            views.add(new WaveView(
                    wave.wave(),
                    wave.phase(),
                    wave.action(),
                    wave.reason(),
                    wave.countHosts(WaveHostProgress.WAITING),
                    wave.countHosts(WaveHostProgress.UNDER_WAY),
                    wave.countHosts(WaveHostProgress.DONE),
                    wave.countHosts(WaveHostProgress.FAILED),
                    reason));
        }
        return views;
    }

    private void start(HttpExchange exchange) throws IOException {
        WaveRequest request = JsonExchange.readBody(exchange, WaveRequest.class);
        JsonExchange.respond(exchange, requireAccepted(appender.submitAndWait(createStartCommand(request))));
    }

    private void change(HttpExchange exchange) throws IOException {
        ChangeRequest request = JsonExchange.readBody(exchange, ChangeRequest.class);
        WaveState wave = Optional.ofNullable(state.get().waves().get(request.wave()))
                .orElseThrow(() -> new CicadaleadException(
                        ErrorKind.UNKNOWN_RESOURCE, "There is no wave '" + request.wave() + "'"));
        MaintenanceCommand.Change change = new MaintenanceCommand.Change(wave.wave(), wave.version(), request.change());
        JsonExchange.respond(exchange, requireAccepted(appender.submitAndWait(change)));
    }

    private void preview(HttpExchange exchange) throws IOException {
        WaveRequest request = JsonExchange.readBody(exchange, WaveRequest.class);
        JsonExchange.respond(
                exchange, WavePreview.of(state.get(), createStartCommand(request), CapacityPolicy.SHARED_SPARE));
    }

    private MaintenanceCommand.Start createStartCommand(WaveRequest request) {
        return new MaintenanceCommand.Start(
                request.wave(),
                request.selection(),
                request.action(),
                request.reason(),
                wallClockMilliseconds.getAsLong(),
                0,
                request.maximumFailures());
    }

    private static CommandOutcome requireAccepted(CommandOutcome outcome) {
        if (outcome instanceof CommandOutcome.Rejected rejected) {
            throw new CicadaleadException(rejected.kind(), rejected.detail());
        }
        return outcome;
    }

    /**
     * Request of an operator to start or preview a wave.
     *
     * @param wave identifier of the wave
     * @param selection the hosts to maintain
     * @param action action on a drained host
     * @param reason why the wave is started
     * @param maximumFailures maximum number of failed hosts before the wave is stopped
     */
    public record WaveRequest(
            WaveIdentifier wave, WaveSelection selection, WaveAction action, String reason, int maximumFailures) {}

    /**
     * Request of an operator to change a wave.
     *
     * @param wave the wave
     * @param change the change
     */
    public record ChangeRequest(WaveIdentifier wave, WaveChange change) {}

    /**
     * Status of a wave for operators.
     *
     * @param wave identifier of the wave
     * @param phase its phase
     * @param action action on a drained host
     * @param reason why it was started
     * @param waiting number of hosts that are not granted yet
     * @param underWay number of hosts in maintenance
     * @param done number of hosts that have returned
     * @param failed number of hosts whose maintenance has failed
     * @param nextHostWaits why no further host is granted now; empty if the next one is granted
     */
    public record WaveView(
            WaveIdentifier wave,
            WavePhase phase,
            WaveAction action,
            String reason,
            int waiting,
            int underWay,
            int done,
            int failed,
            Optional<String> nextHostWaits) {}
}
