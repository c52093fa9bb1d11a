package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/**
 * Delays commands by the rank of the process among the members, so that several processes rarely append the same
 * command. The first member appends at once; each further member waits longer and appends only commands that are still
 * planned by then. This only saves appends: correctness depends on the fold alone. Not thread-safe.
 */
public final class CommandStagger {
    /** Additional delay of each further member, in milliseconds. */
    public static final long STAGGER_DELAY_MILLISECONDS = 1_500;

    private static final long REPEAT_INTERVAL_MILLISECONDS = 10_000;

    private Map<Command, Long> dueTimes = new HashMap<>();

    /** Returns the commands that a process has to append now, and records when they are due again. */
    public List<Command> takeDueCommands(
            List<Decision> decisions, SharedState state, ProcessIdentifier process, long nowMilliseconds) {
        long delay = rankOf(state, process) * STAGGER_DELAY_MILLISECONDS;
        Map<Command, Long> nextDueTimes = new HashMap<>();
        List<Command> due = new ArrayList<>();
        for (Decision decision : decisions) {
            if (decision.command().isEmpty()) {
                continue;
            }
            Command command = decision.command().get();
            long dueTime = dueTimes.getOrDefault(command, nowMilliseconds + delay);
            if (dueTime <= nowMilliseconds) {
                due.add(command);
                dueTime = nowMilliseconds + REPEAT_INTERVAL_MILLISECONDS;
            }
            nextDueTimes.put(command, dueTime);
        }
        dueTimes = nextDueTimes;
        return due;
    }

    private static int rankOf(SharedState state, ProcessIdentifier process) {
        return (int) state.members().keySet().stream()
                .filter(member -> member.compareTo(process) < 0)
                .count();
    }
}
