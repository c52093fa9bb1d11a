package org.cicadalead.logic.planning;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/**
 * A planner's decision to append a command or to wait, with its reason. Immutable.
 *
 * @param command the command to append; absent when the decision is to wait
 * @param kind the event that reports the decision
 * @param cause the wave, host, pool or process that the decision is about
 * @param details the facts behind the decision, such as the budget, the failure and the log offset
 */
public record Decision(Optional<Command> command, EventKind kind, Optional<String> cause, List<EventDetail> details) {
    /** Copies the list. */
    public Decision {
        details = List.copyOf(details);
    }

    /** Returns a decision to append a command. */
    public static Decision toAppend(Command command, EventKind kind, Object cause, EventDetail... details) {
        return new Decision(Optional.of(command), kind, Optional.of(cause.toString()), List.of(details));
    }

    /** Returns a decision to wait, for a reason. */
    public static Decision toWait(EventKind kind, Object cause, EventDetail... details) {
        return new Decision(Optional.empty(), kind, Optional.of(cause.toString()), List.of(details));
    }
}
