package org.cicadalead.adapters.replica;

import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;

/**
 * Emits events about configurations that come into force in this process and about rejected commands. Stateless except
 * for the event sink.
 */
final class StateEventReporter implements SharedStateReplica.FoldListener {
    private final EventSink events;

    StateEventReporter(EventSink events) {
        this.events = events;
    }

    @Override
    public void onFolded(
            SharedState previous, SharedState current, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        Optional<String> cause = envelope.map(command -> command.identifier().value());
        reportConfigurationChange(previous, current, cause);
        if (outcome instanceof CommandOutcome.Rejected rejected && envelope.isPresent()) {
            events.emit(
                    EventKind.COMMAND_REJECTED,
                    cause,
                    EventDetail.of("offset", current.offset()),
                    EventDetail.of("kind", rejected.kind().code()),
                    EventDetail.of("reason", rejected.detail()));
        }
    }

    @Override
    public void onJumped(SharedState previous, SharedState current) {
        reportConfigurationChange(previous, current, Optional.empty());
    }

    private void reportConfigurationChange(SharedState previous, SharedState current, Optional<String> cause) {
        long version = current.configuration().version();
        if (version != previous.configuration().version()) {
            events.emit(EventKind.CONFIGURATION_ACCEPTED, cause, EventDetail.of("version", version));
        }
    }
}
