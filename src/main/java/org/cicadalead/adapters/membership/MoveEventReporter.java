package org.cicadalead.adapters.membership;

import java.util.Optional;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.FleetCommand.HostMove;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;

/**
 * Emits events for accepted moves, joins and leaves. Each event is emitted only by the process that appended the
 * command. Safe for use by several threads.
 */
final class MoveEventReporter implements SharedStateReplica.FoldListener {
    private final ProcessIdentifier self;
    private final EventSink events;

    MoveEventReporter(ProcessIdentifier self, EventSink events) {
        this.self = self;
        this.events = events;
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (!(outcome instanceof CommandOutcome.Accepted)
                || envelope.filter(record -> record.writer().equals(self)).isEmpty()) {
            return;
        }
        Command command = envelope.get().command();
        if (command instanceof FleetCommand.Withdraw withdraw) {
            events.emit(
                    EventKind.MOVE_STARTED,
                    Optional.of(MoveLoop.causeOf(new HostMove(withdraw.host(), after.offset()))),
                    EventDetail.of("from", after.hosts().get(withdraw.host()).pool()),
                    EventDetail.of("to", withdraw.destination()));
        } else if (command instanceof FleetCommand.Acknowledge acknowledge) {
            acknowledge.hosts().forEach(move -> emit(EventKind.MOVE_ACKNOWLEDGED, move));
        } else if (command instanceof FleetCommand.CancelMove cancel) {
            emit(EventKind.MOVE_CANCELLED, cancel.move());
        } else if (command instanceof FleetCommand.Assign assign) {
            assign.moves().stream()
                    .filter(move -> isMoveFinished(after.hosts().get(move.host())))
                    .forEach(move -> emit(EventKind.MOVE_FINISHED, move));
        } else if (command instanceof MembershipCommand.Join join) {
            events.emit(EventKind.MEMBER_JOINED, Optional.empty(), EventDetail.of("member", join.process()));
        } else if (command instanceof MembershipCommand.Leave leave) {
            events.emit(EventKind.MEMBER_LEFT, Optional.empty(), EventDetail.of("member", leave.process()));
        }
    }

    private static boolean isMoveFinished(HostState host) {
        return host != null && host.move().isEmpty();
    }

    private void emit(EventKind kind, HostMove move) {
        events.emit(kind, Optional.of(MoveLoop.causeOf(move)), EventDetail.of("host", move.host()));
    }
}
