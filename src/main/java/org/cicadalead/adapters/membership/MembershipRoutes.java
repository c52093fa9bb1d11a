package org.cicadalead.adapters.membership;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.adapters.replica.CommandAppender;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.FleetCommand.HostMove;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/** The operators' routes for moves and members. Safe for use by several threads. */
final class MembershipRoutes {
    private final Supplier<SharedState> state;
    private final Supplier<MembershipStatus> status;
    private final CommandAppender appender;

    MembershipRoutes(Supplier<SharedState> state, Supplier<MembershipStatus> status, CommandAppender appender) {
        this.state = state;
        this.status = status;
        this.appender = appender;
    }

    void addTo(AdministrationServer server) {
        server.addRoute("GET", "/members", exchange -> JsonExchange.respond(exchange, status.get()));
        server.addRoute("POST", "/moves", this::startMove);
        server.addRoute("POST", "/moves/cancel", this::cancelMove);
        server.addRoute("POST", "/members/remove", this::removeMember);
    }

    private void startMove(HttpExchange exchange) throws IOException {
        MoveRequest request = JsonExchange.readBody(exchange, MoveRequest.class);
        SharedState current = state.get();
        HostState host = findHost(current, request.host());
        if (!current.configuration().merged().pools().containsKey(request.destination())) {
            throw new CicadaleadException(
                    ErrorKind.UNKNOWN_RESOURCE, "There is no pool '" + request.destination() + "'");
        }
        long offset = requireAccepted(
                appender.submitAndWait(new FleetCommand.Withdraw(host.name(), host.version(), request.destination())));
        JsonExchange.respond(exchange, new MoveStarted(host.name(), host.pool(), request.destination(), offset));
    }

    private void cancelMove(HttpExchange exchange) throws IOException {
        CancelRequest request = JsonExchange.readBody(exchange, CancelRequest.class);
        HostState host = findHost(state.get(), request.host());
        HostMoveState move = host.move()
                .orElseThrow(() ->
                        new CicadaleadException(ErrorKind.CONFLICT, "The host '" + host.name() + "' is not moving"));
        long offset = requireAccepted(
                appender.submitAndWait(new FleetCommand.CancelMove(new HostMove(host.name(), move.version()))));
        JsonExchange.respond(exchange, new MoveStarted(host.name(), move.destination(), host.pool(), offset));
    }

    private void removeMember(HttpExchange exchange) throws IOException {
        RemoveRequest request = JsonExchange.readBody(exchange, RemoveRequest.class);
        Member member = Optional.ofNullable(state.get().members().get(request.process()))
                .orElseThrow(() -> new CicadaleadException(
                        ErrorKind.UNKNOWN_RESOURCE, "There is no member '" + request.process() + "'"));
        JsonExchange.respond(
                exchange, appender.submitAndWait(new MembershipCommand.Leave(member.process(), member.version())));
    }

    private static HostState findHost(SharedState current, HostName name) {
        return Optional.ofNullable(current.hosts().get(name))
                .orElseThrow(
                        () -> new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "There is no host '" + name + "'"));
    }

    private static long requireAccepted(CommandOutcome outcome) {
        if (outcome instanceof CommandOutcome.Accepted accepted) {
            return accepted.offset();
        }
        if (outcome instanceof CommandOutcome.Rejected rejected) {
            throw new CicadaleadException(rejected.kind(), rejected.detail());
        }
        throw new CicadaleadException(ErrorKind.CONFLICT, "The same command stands earlier in the log");
    }

    /**
     * A request to move a host to another pool.
     *
     * @param host the host
     * @param destination the pool that the host moves to
     */
    record MoveRequest(HostName host, PoolName destination) {}

    /**
     * A request to cancel the move of a host.
     *
     * @param host the host
     */
    record CancelRequest(HostName host) {}

    /**
     * A request to remove a member whose host was stopped permanently.
     *
     * @param process the member
     */
    record RemoveRequest(ProcessIdentifier process) {}

    /**
     * An accepted withdrawal or cancellation of a move.
     *
     * @param host the host
     * @param from the pool that the host leaves
     * @param to the pool that the host moves to
     * @param offset offset of the accepted record
     */
    record MoveStarted(HostName host, PoolName from, PoolName to, long offset) {}
}
