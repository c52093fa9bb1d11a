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

/** Operators' routes on maintenance waves and their previews. Safe for use by several threads. */
public final class WaveRoutes {
    private final Supplier<SharedState> state;
    private final CommandAppender appender;
    private final LongSupplier wallClockMilliseconds;

    /** Creates routes on a replica and an appender. */
    public WaveRoutes(Supplier<SharedState> state, CommandAppender appender, LongSupplier wallClockMilliseconds) {
        this.state = state;
        this.appender = appender;
        this.wallClockMilliseconds = wallClockMilliseconds;
    }

    /** Adds the routes. */
    public void addTo(AdministrationServer server) {
        server.route("GET", "/waves", exchange -> JsonExchange.answer(exchange, views()));
        server.route("POST", "/waves/start", this::start);
        server.route("POST", "/waves/change", this::change);
        server.route("POST", "/plan", this::plan);
    }

    private List<WaveView> views() {
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
        JsonExchange.answer(exchange, accepted(appender.submitAndWait(command(request))));
    }

    private void change(HttpExchange exchange) throws IOException {
        ChangeRequest request = JsonExchange.readBody(exchange, ChangeRequest.class);
        WaveState wave = Optional.ofNullable(state.get().waves().get(request.wave()))
                .orElseThrow(() -> new CicadaleadException(
                        ErrorKind.UNKNOWN_RESOURCE, "There is no wave '" + request.wave() + "'"));
        MaintenanceCommand.Change change = new MaintenanceCommand.Change(wave.wave(), wave.version(), request.change());
        JsonExchange.answer(exchange, accepted(appender.submitAndWait(change)));
    }

    private void plan(HttpExchange exchange) throws IOException {
        WaveRequest request = JsonExchange.readBody(exchange, WaveRequest.class);
        JsonExchange.answer(exchange, WavePreview.of(state.get(), command(request), CapacityPolicy.SHARED_SPARE));
    }

    private MaintenanceCommand.Start command(WaveRequest request) {
        return new MaintenanceCommand.Start(
                request.wave(),
                request.selection(),
                request.action(),
                request.reason(),
                wallClockMilliseconds.getAsLong(),
                0,
                request.maximumFailures());
    }

    private static CommandOutcome accepted(CommandOutcome outcome) {
        if (outcome instanceof CommandOutcome.Rejected rejected) {
            throw new CicadaleadException(rejected.kind(), rejected.detail());
        }
        return outcome;
    }

    /**
     * A wave that an operator asks for.
     *
     * @param wave its identifier
     * @param selection which hosts
     * @param action what is done with a drained host
     * @param reason why
     * @param maximumFailures failed hosts that it tolerates
     */
    public record WaveRequest(
            WaveIdentifier wave, WaveSelection selection, WaveAction action, String reason, int maximumFailures) {}

    /**
     * A change of a wave that an operator asks for.
     *
     * @param wave the wave
     * @param change the change
     */
    public record ChangeRequest(WaveIdentifier wave, WaveChange change) {}

    /**
     * A wave as operators see it.
     *
     * @param wave its identifier
     * @param phase its phase
     * @param action what is done with a drained host
     * @param reason why it was started
     * @param waiting hosts whose turn has not come
     * @param underWay hosts that are out
     * @param done hosts that are back
     * @param failed hosts that did not come back
     * @param nextHostWaits why no further host is granted now
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
