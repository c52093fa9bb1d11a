package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/** A fake of the platform log that folds each appended command and keeps every state. For use by one thread. */
final class BenchLog {
    private final List<SharedState> states = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();

    BenchLog() {
        states.add(SharedState.empty());
    }

    /** Appends a command at a point in time and returns the outcome of the fold. */
    CommandOutcome append(Command command, ProcessIdentifier writer, long nowMilliseconds) {
        long offset = states.size();
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT, new CommandIdentifier("bench-" + offset), writer, command);
        FoldResult result = SharedStateFold.apply(newestState(), offset, Optional.of(envelope));
        states.add(result.state());
        entries.add(new Entry(nowMilliseconds, writer, command, result.outcome()));
        return result.outcome();
    }

    SharedState newestState() {
        return states.get(states.size() - 1);
    }

    /** Returns the state after the record at an offset; 0 is the state before the first record. */
    SharedState stateAt(long offset) {
        return states.get((int) offset);
    }

    /** Returns the offset of the last record that had been appended at a point in time; 0 when there was none. */
    long findOffsetAt(long milliseconds) {
        int low = 0;
        int high = entries.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (entries.get(middle).timeMilliseconds <= milliseconds) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns the entries after an offset, without the entry at the offset. */
    List<Entry> entriesAfter(long offset) {
        return entries.subList((int) offset, entries.size());
    }

    /**
     * An appended record with its outcome. Immutable.
     *
     * @param timeMilliseconds when it was appended, in virtual milliseconds
     * @param writer the process that appended it
     * @param command the command
     * @param outcome the outcome of the fold
     */
    record Entry(long timeMilliseconds, ProcessIdentifier writer, Command command, CommandOutcome outcome) {
        boolean isAccepted() {
            return outcome instanceof CommandOutcome.Accepted;
        }
    }
}
