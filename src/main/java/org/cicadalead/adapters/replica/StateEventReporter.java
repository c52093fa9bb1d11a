package org.cicadalead.adapters.replica;

import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;

/** Reports publications that came into force here, and rejected commands. Stateless but for its sink. */
final class StateEventReporter implements SharedStateReplica.FoldListener {
    private final EventSink events;

    StateEventReporter(EventSink events) {
        this.events = events;
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        Optional<String> cause = envelope.map(command -> command.identifier().value());
        reportConfigurationChange(before, after, cause);
        if (outcome instanceof CommandOutcome.Rejected rejected && envelope.isPresent()) {
            events.emit(
                    EventKind.COMMAND_REJECTED,
                    cause,
                    EventDetail.of("offset", after.offset()),
                    EventDetail.of("kind", rejected.kind().code()),
                    EventDetail.of("reason", rejected.detail()));
        }
    }

    @Override
    public void onJumped(SharedState before, SharedState after) {
        reportConfigurationChange(before, after, Optional.empty());
    }

    private void reportConfigurationChange(SharedState before, SharedState after, Optional<String> cause) {
        long version = after.configuration().version();
        if (version != before.configuration().version()) {
            events.emit(EventKind.CONFIGURATION_ACCEPTED, cause, EventDetail.of("version", version));
        }
    }
}
