package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/**
 * Keeps several processes from appending the same command. The first member in order acts at once, each further one
 * only on what still stands a little later. This saves appends; safety comes from the fold alone. For use by one
 * thread.
 */
public final class CommandStagger {
    /** Time that each further member waits, in milliseconds. */
    public static final long STAGGER_DELAY_MILLISECONDS = 1_500;

    private static final long REPEAT_INTERVAL_MILLISECONDS = 10_000;

    private Map<Command, Long> dueTimes = new HashMap<>();

    /** Returns the commands that a process appends now. */
    public List<Command> takeDueCommands(
            List<Decision> decisions, SharedState state, ProcessIdentifier process, long nowMilliseconds) {
        long delay = rankOf(state, process) * STAGGER_DELAY_MILLISECONDS;
        Map<Command, Long> standing = new HashMap<>();
        List<Command> due = new ArrayList<>();
        for (Decision decision : decisions) {
            if (decision.command().isEmpty()) {
                continue;
            }
            Command command = decision.command().get();
            long time = dueTimes.getOrDefault(command, nowMilliseconds + delay);
            if (time <= nowMilliseconds) {
                due.add(command);
                time = nowMilliseconds + REPEAT_INTERVAL_MILLISECONDS;
            }
            standing.put(command, time);
        }
        dueTimes = standing;
        return due;
    }

    private static int rankOf(SharedState state, ProcessIdentifier process) {
        return (int) state.members().keySet().stream()
                .filter(member -> member.compareTo(process) < 0)
                .count();
    }
}
